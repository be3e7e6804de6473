"""The ``balancer`` and ``control`` commands, which run a daemon."""

import argparse
from collections.abc import Awaitable, Callable
from logging import Logger

import trio

from mustardhold.adapters.clock import Clock, SystemClock
from mustardhold.adapters.logs import start_logs
from mustardhold.adapters.settings import Options, load_options
from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    print_errors,
)
from mustardhold.daemons.balancer import run_balancer
from mustardhold.daemons.control import run_control
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.outcomes import Err


def run_balancer_program(arguments: argparse.Namespace) -> int:
    """Run a balancer until it is stopped."""
    return run_program('balancer', BalancerOptions, run_balancer, arguments)


def run_control_program(arguments: argparse.Namespace) -> int:
    """Run a control replica until it is stopped."""
    return run_program('control', ControlOptions, run_control, arguments)


def run_program(
    name: str,
    kind: type[Options],
    run: Callable[[Options, Clock, Logger], Awaitable[None]],
    arguments: argparse.Namespace,
) -> int:
    """Load the settings and run a program until it is stopped.

    Returns
    -------
    int
        The exit code; with invalid settings the program is not started.
    """
    loaded = load_options(arguments.settings, kind)
    if isinstance(loaded, Err):
        print_errors(loaded.error)
        return EXIT_USAGE
    log = start_logs(name, loaded.value.instance_id)
    reasons: list[Exception] = []
    try:
        trio.run(run, loaded.value, SystemClock(), log)
    except* OSError as group:
        reasons.extend(group.exceptions)
    print_errors(f'cannot run: {reason}' for reason in reasons)
    return EXIT_FAILED if reasons else EXIT_OK
