"""The ``replica`` command: repair of the group of control replicas."""

import argparse

from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    print_error,
    print_line,
)
from mustardhold.daemons.operator_client import replace_replica
from mustardhold.tables.outcomes import Err


def run_replica(arguments: argparse.Namespace) -> int:
    """Request the replacement of a control replica that lost its disk."""
    response = replace_replica(arguments.control, arguments.instance)
    if isinstance(response, Err):
        print_error(response.error)
        return EXIT_FAILED
    print_line(response.value.decode())
    return EXIT_OK
