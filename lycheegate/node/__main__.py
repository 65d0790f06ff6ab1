"""Entry point of the daemon."""

import os

from lycheegate.node import daemon

if __name__ == "__main__":
    # Threads that wait for callers would hold up an ordinary exit.
    os._exit(daemon.main())
