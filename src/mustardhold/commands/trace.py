"""The ``trace`` command: a timeline of a subject from log files."""

import argparse
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    print_error,
    print_line,
)
from mustardhold.systems.tracing import LogLine, parse_logs, select_timeline


def run_trace(arguments: argparse.Namespace) -> int:
    """Print the timeline of a caller, flow, server or version."""
    parsed = parse_logs(read_files(arguments.logs))
    window = timedelta(seconds=arguments.window)
    timeline = list(select_timeline(parsed.lines, arguments.subject, window))
    for line in timeline:
        print_line(format_line(line))
    if parsed.skipped:
        print_error(
            f'{parsed.skipped} lines are not log lines and were skipped'
        )
    if not timeline:
        print_error(f'no process has logged anything about {arguments.subject}')
        return EXIT_FAILED
    return EXIT_OK


def read_files(paths: list[Path]) -> Iterator[str]:
    """Yield the lines of all files; invalid UTF-8 is replaced."""
    for path in paths:
        try:
            content = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            print_error(f'{path}: {error.strerror}')
            continue
        yield from content.splitlines()


def format_line(line: LogLine) -> str:
    """Format a log line for the terminal."""
    details = ' '.join(
        f'{name}={value}' for name, value in line.details.items()
    )
    time = line.at.strftime('%H:%M:%S.%f')[:-3]
    return f'{time} {line.instance} {line.message} {details}'.rstrip()
