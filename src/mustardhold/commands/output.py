"""Terminal output and exit codes of the commands."""

import os
import sys
from collections.abc import Iterable

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def print_line(line: object) -> None:
    """Write a line to standard output.

    Once its reader has closed it, as ``head`` does, further lines are dropped,
    and the command ends with the exit code that it would have had.
    """
    try:
        sys.stdout.write(f'{escape_unencodable(str(line))}\n')
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def escape_unencodable(text: str) -> str:
    """Escape the characters that the encoding of standard output lacks."""
    encoding = sys.stdout.encoding or 'utf-8'
    return text.encode(encoding, 'backslashreplace').decode(encoding)


def print_error(line: object) -> None:
    """Write a line to standard error."""
    sys.stderr.write(f'{line}\n')


def print_errors(lines: Iterable[object]) -> None:
    """Write several lines to standard error."""
    for line in lines:
        print_error(line)
