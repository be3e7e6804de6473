"""What a running fleet tells of itself."""

import argparse

from mustardhold.commands.output import EXIT_FAILED, EXIT_OK, complain, say
from mustardhold.daemons.operator import fetch
from mustardhold.tables.outcomes import Err


def run_status(arguments: argparse.Namespace) -> int:
    """Print the status of a process as JSON."""
    page = fetch(arguments.at, '/status')
    if isinstance(page, Err):
        complain(page.error)
        return EXIT_FAILED
    say(page.value.decode())
    return EXIT_OK
