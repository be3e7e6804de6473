"""Command line of every program of the project."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.logs import start_logs
from mustardhold.adapters.settings import load_options
from mustardhold.daemons.balancer import run_balancer
from mustardhold.daemons.control import run_control
from mustardhold.daemons.operator import (
    fetch,
    fetch_table,
    make_deletion,
    make_edit,
    send_edit,
)
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import (
    Accepted,
    EntryKind,
    Pool,
    RepeatedEdit,
    Route,
    Weighting,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

EPILOG = """\
examples:
  mustardhold check --balancer balancer.yaml
  mustardhold balancer --settings balancer.yaml
  mustardhold control --settings control.yaml
  mustardhold route put katalog --address 10.20.0.2:443 --control 127.0.0.1:7001
  mustardhold pool put werkstatt --server 'boot-*' --control 127.0.0.1:7001
  mustardhold status --at 127.0.0.1:7101

exit codes:
  0  done
  1  the fleet refused, or could not be reached
  2  wrong usage, or settings with findings
"""


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of all commands."""
    parser = argparse.ArgumentParser(
        'mustardhold',
        description='A layer-4 load balancer.',
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for program in ('balancer', 'control'):
        command = commands.add_parser(program, help=f'run a {program}')
        command.add_argument('--settings', type=Path, required=True)
    add_check(commands.add_parser('check', help='check settings files'))
    add_route(commands.add_parser('route', help='edit the routes'))
    add_pool(commands.add_parser('pool', help='edit the pools'))
    status = commands.add_parser('status', help='show a process')
    status.add_argument('--at', action='append', required=True)
    return parser


def add_check(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``check``."""
    command.add_argument('--balancer', type=Path, action='append', default=[])
    command.add_argument('--control', type=Path, action='append', default=[])


def add_entry_arguments(command: argparse.ArgumentParser) -> None:
    """Add what edits of both tables take."""
    command.add_argument('action', choices=('put', 'delete'))
    command.add_argument('name')
    command.add_argument('--control', action='append', required=True)
    command.add_argument('--edit-id')


def add_route(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``route``."""
    add_entry_arguments(command)
    command.add_argument('--address', action='append', default=[])


def add_pool(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``pool``."""
    add_entry_arguments(command)
    command.add_argument('--server', action='append', default=[])
    command.add_argument('--drain', action='append', default=[])
    command.add_argument(
        '--weighting', choices=list(Weighting), default=Weighting.AFFINITY
    )


def run_balancer_program(arguments: argparse.Namespace) -> int:
    """Run a balancer until it is stopped."""
    loaded = load_options(arguments.settings, BalancerOptions)
    if isinstance(loaded, Err):
        print_findings(loaded.error)
        return EXIT_USAGE
    log = start_logs('balancer', loaded.value.instance_id)
    trio.run(run_balancer, loaded.value, SystemClock(), log)
    return EXIT_OK


def run_control_program(arguments: argparse.Namespace) -> int:
    """Run a control replica until it is stopped."""
    loaded = load_options(arguments.settings, ControlOptions)
    if isinstance(loaded, Err):
        print_findings(loaded.error)
        return EXIT_USAGE
    log = start_logs('control', loaded.value.instance_id)
    trio.run(run_control, loaded.value, SystemClock(), log)
    return EXIT_OK


def print_findings(findings: Sequence[object]) -> None:
    """Print what is wrong with a settings file."""
    for finding in findings:
        print(finding, file=sys.stderr)


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
    print_findings(findings)
    return EXIT_USAGE if findings else EXIT_OK


def run_edit(arguments: argparse.Namespace) -> int:
    """Send an edit of a route or a pool."""
    table = fetch_table(arguments.control)
    if isinstance(table, Err):
        print(table.error, file=sys.stderr)
        return EXIT_FAILED
    kind = EntryKind(arguments.command)
    if arguments.action == 'delete':
        edit = make_deletion(
            table.value, kind, arguments.name, arguments.edit_id
        )
    else:
        edit = make_edit(table.value, entry_from(arguments), arguments.edit_id)
    sent = send_edit(arguments.control, edit)
    if isinstance(sent, Err):
        print(f'unknown: {sent.error}', file=sys.stderr)
        return EXIT_FAILED
    outcome = sent.value
    print(outcome)
    first = outcome.first if isinstance(outcome, RepeatedEdit) else outcome
    return EXIT_OK if isinstance(first, Accepted) else EXIT_FAILED


def entry_from(arguments: argparse.Namespace) -> Route | Pool:
    """Make the entry that the arguments describe."""
    if arguments.command == 'route':
        return Route(arguments.name, tuple(arguments.address))
    return Pool(
        arguments.name,
        tuple(arguments.server) or ('*',),
        tuple(arguments.drain),
        Weighting(arguments.weighting),
    )


def run_status(arguments: argparse.Namespace) -> int:
    """Print the status of a process as JSON."""
    page = fetch(arguments.at, '/status')
    if isinstance(page, Err):
        print(page.error, file=sys.stderr)
        return EXIT_FAILED
    print(page.value.decode())
    return EXIT_OK


COMMANDS = {
    'balancer': run_balancer_program,
    'control': run_control_program,
    'check': run_check,
    'route': run_edit,
    'pool': run_edit,
    'status': run_status,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line.

    Returns
    -------
    int
        The exit code: 0 done, 1 refused or unreachable, 2 wrong usage.
    """
    arguments = make_parser().parse_args(argv)
    return COMMANDS[arguments.command](arguments)
