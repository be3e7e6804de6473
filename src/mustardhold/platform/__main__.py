"""Starts a program of the platform: ``python -m mustardhold.platform``."""

import sys

from mustardhold.platform.programs import main

if __name__ == '__main__':
    sys.exit(main())
