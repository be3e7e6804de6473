"""Lines to the operator, and exit codes."""

import sys
from collections.abc import Iterable

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def say(line: object) -> None:
    """Write a line to standard output."""
    sys.stdout.write(f'{line}\n')


def complain(line: object) -> None:
    """Write a line to standard error."""
    sys.stderr.write(f'{line}\n')


def complain_all(lines: Iterable[object]) -> None:
    """Write each of several lines to standard error."""
    for line in lines:
        complain(line)
