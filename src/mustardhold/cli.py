"""Command-line interface: parses the arguments and runs a subcommand."""

import argparse
import importlib
from collections.abc import Sequence

from mustardhold.commands.check import run_check
from mustardhold.commands.data_centres import run_data_centre
from mustardhold.commands.edits import run_edit
from mustardhold.commands.explain import run_explain
from mustardhold.commands.parser import make_parser
from mustardhold.commands.programs import (
    run_balancer_program,
    run_control_program,
)
from mustardhold.commands.replicas import run_replica
from mustardhold.commands.status import run_status
from mustardhold.commands.trace import run_trace


def run_check_configuration(arguments: argparse.Namespace) -> int:
    """Run ``check-configuration``.

    Its modules are imported here, so that they do not delay the start of the
    balancer and control programs.
    """
    module = importlib.import_module('mustardhold.commands.check_configuration')
    exit_code: int = module.run_check_configuration(arguments)
    return exit_code


COMMANDS = {
    'balancer': run_balancer_program,
    'control': run_control_program,
    'check': run_check,
    'check-configuration': run_check_configuration,
    'route': run_edit,
    'pool': run_edit,
    'replica': run_replica,
    'data-centre': run_data_centre,
    'status': run_status,
    'explain': run_explain,
    'trace': run_trace,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Parse the arguments and run the subcommand that they name.

    Returns
    -------
    int
        The exit code: 0 on success, 1 if the request was refused, the fleet
        was unreachable or the program could not start, 2 for wrong usage or
        settings with findings. ``check-configuration`` has codes of its own.
    """
    arguments = make_parser().parse_args(argv)
    return COMMANDS[arguments.command](arguments)
