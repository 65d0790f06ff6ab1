"""Runs the command line with ``python -m lycheegate``."""

from lycheegate.cli import main

if __name__ == "__main__":
    main.main()
