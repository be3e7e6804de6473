"""Terminal output and exit codes of the commands."""

import sys
from collections.abc import Iterable

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def print_line(line: object) -> None:
    """Write a line to standard output."""
    sys.stdout.write(f'{line}\n')


def print_error(line: object) -> None:
    """Write a line to standard error."""
    sys.stderr.write(f'{line}\n')


def print_errors(lines: Iterable[object]) -> None:
    """Write several lines to standard error."""
    for line in lines:
        print_error(line)
