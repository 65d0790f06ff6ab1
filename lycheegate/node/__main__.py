"""Entry point of the node daemon."""

import os

from lycheegate.node import daemon

if __name__ == "__main__":
    # A normal exit would wait for the threads that serve callers.
    os._exit(daemon.main())
