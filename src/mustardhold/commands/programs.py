"""The programs that keep running: balancer and control."""

import argparse

import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.logs import start_logs
from mustardhold.adapters.settings import load_options
from mustardhold.commands.output import EXIT_OK, EXIT_USAGE, complain_all
from mustardhold.daemons.balancer import run_balancer
from mustardhold.daemons.control import run_control
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.outcomes import Err


def run_balancer_program(arguments: argparse.Namespace) -> int:
    """Run a balancer until it is stopped."""
    loaded = load_options(arguments.settings, BalancerOptions)
    if isinstance(loaded, Err):
        complain_all(loaded.error)
        return EXIT_USAGE
    log = start_logs('balancer', loaded.value.instance_id)
    trio.run(run_balancer, loaded.value, SystemClock(), log)
    return EXIT_OK


def run_control_program(arguments: argparse.Namespace) -> int:
    """Run a control replica until it is stopped."""
    loaded = load_options(arguments.settings, ControlOptions)
    if isinstance(loaded, Err):
        complain_all(loaded.error)
        return EXIT_USAGE
    log = start_logs('control', loaded.value.instance_id)
    trio.run(run_control, loaded.value, SystemClock(), log)
    return EXIT_OK
