"""The check of settings files."""

import argparse

from mustardhold.adapters.settings import load_options
from mustardhold.commands.output import EXIT_OK, EXIT_USAGE, complain_all
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.outcomes import Err


def run_check(arguments: argparse.Namespace) -> int:
    """Check settings files and report every finding."""
    findings: list[object] = []
    for path in arguments.balancer:
        loaded = load_options(path, BalancerOptions)
        if isinstance(loaded, Err):
            findings.extend(loaded.error)
    for path in arguments.control:
        loaded_control = load_options(path, ControlOptions)
        if isinstance(loaded_control, Err):
            findings.extend(loaded_control.error)
    complain_all(findings)
    return EXIT_USAGE if findings else EXIT_OK
