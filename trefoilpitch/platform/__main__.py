"""Runs the daemon: ``python3 -m trefoilpitch.platform``."""

import sys

from trefoilpitch.platform import main

if __name__ == "__main__":
    sys.exit(main())
