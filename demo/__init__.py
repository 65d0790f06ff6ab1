"""Demo of the whole path of a request through callers, entry VMs and workers."""
