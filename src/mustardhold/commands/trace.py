"""Tells from logs what became of a flow, a server or a configuration."""

import argparse
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

from mustardhold.commands.output import EXIT_FAILED, EXIT_OK, complain, say
from mustardhold.systems.tracing import LogLine, parse_logs, select_timeline


def run_trace(arguments: argparse.Namespace) -> int:
    """Print the story of a subject in the order of time."""
    read = parse_logs(read_files(arguments.logs))
    window = timedelta(seconds=arguments.window)
    story = list(select_timeline(read.lines, arguments.subject, window))
    for line in story:
        say(show_line(line))
    if read.skipped:
        complain(f'{read.skipped} lines are no log lines, and were left out')
    if not story:
        complain(f'no process has logged anything about {arguments.subject}')
        return EXIT_FAILED
    return EXIT_OK


def read_files(paths: list[Path]) -> Iterator[str]:
    """Read the lines of all files; bytes that are no text are replaced."""
    for path in paths:
        try:
            content = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            complain(f'{path}: {error.strerror}')
            continue
        yield from content.splitlines()


def show_line(line: LogLine) -> str:
    """Format a line for people."""
    details = ' '.join(
        f'{name}={shown}' for name, shown in line.details.items()
    )
    time = line.at.strftime('%H:%M:%S.%f')[:-3]
    return f'{time} {line.instance} {line.message} {details}'.rstrip()
