"""Repair of the group of control replicas."""

import argparse

from mustardhold.commands.output import EXIT_FAILED, EXIT_OK, complain, say
from mustardhold.daemons.operator_client import replace_replica
from mustardhold.tables.outcomes import Err


def run_replica(arguments: argparse.Namespace) -> int:
    """Ask to take in the new folder of a replica that lost its disk."""
    taken = replace_replica(arguments.control, arguments.instance)
    if isinstance(taken, Err):
        complain(taken.error)
        return EXIT_FAILED
    say(taken.value.decode())
    return EXIT_OK
