"""Entry point of ``python -m mustardhold``."""

import sys

from mustardhold.cli import main

if __name__ == '__main__':
    sys.exit(main())
