"""Addresses that come from other systems."""

import re

__all__ = ["is_address"]

_ADDRESS = re.compile(r"[0-9A-Za-z.-]{1,253}:([1-9][0-9]{0,4})")
_MAX_PORT = 65535


def is_address(text: str) -> bool:
    """Returns whether a text is a host name or IPv4 address and a port, such as ``10.0.0.9:80``."""
    found = _ADDRESS.fullmatch(text)
    return found is not None and int(found[1]) <= _MAX_PORT
