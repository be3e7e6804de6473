"""Argument parser of the command-line interface."""

import argparse
from pathlib import Path
from types import MappingProxyType

from mustardhold.tables.evacuations import EvacuationAction
from mustardhold.tables.routing import Weighting

DEFAULT_WINDOW_SECONDS = 5.0
DATA_CENTRE_ACTIONS = MappingProxyType(
    {
        EvacuationAction.EVACUATE: 'send no new flows to its servers',
        EvacuationAction.RESTORE: 'revoke the evacuation',
        'list': 'list the evacuated data centres',
    }
)
EPILOG = """\
examples:
  mustardhold check balancer.yaml control.yaml
  mustardhold balancer --settings balancer.yaml
  mustardhold control --settings control.yaml
  mustardhold route put katalog --address 10.20.0.2:443 --control 127.0.0.1:7001
  mustardhold pool put werkstatt --server 'boot-*' --control 127.0.0.1:7001
  mustardhold check-configuration new.json --against 10.1.0.5:7000
  mustardhold data-centre evacuate berlin-1 --control 10.1.0.5:7100
  mustardhold status --at 127.0.0.1:7101 --at 127.0.0.1:7102
  mustardhold explain 198.51.100.7:40000,10.20.0.2:443 --at 127.0.0.1:7101
  mustardhold trace 198.51.100.7:40000 --logs balancer-*.log control-*.log

exit codes:
  0  done
  1  the fleet refused or could not be reached, or a program could not start
  2  wrong usage, or settings with findings
  check-configuration has codes of its own, which its --help lists
"""

CHECK_DESCRIPTION = """\
Check a configuration in the JSON form of the platform before it is sent, and
tell how it differs from the one in force. Nothing is changed anywhere.
"""
CHECK_EPILOG = """\
examples:
  mustardhold check-configuration new.json
  mustardhold check-configuration new.json --against 10.1.0.5:7000
  mustardhold check-configuration new.json --against old.json --json

error: control would refuse the configuration. warning: it has entries without
effect, or limits that contradict each other. note: worth a look. added, removed
and changed: differences from the one in force.

exit codes:
  0  no errors and no warnings
  1  errors or warnings
  2  wrong usage, a file that cannot be read, or control could not be reached
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
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
    add_check(
        commands.add_parser(
            'check', help='check settings files, alone and as one fleet'
        )
    )
    add_check_configuration(
        commands.add_parser(
            'check-configuration',
            help='check a configuration before it is sent',
            description=CHECK_DESCRIPTION,
            epilog=CHECK_EPILOG,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
    )
    add_route(commands.add_parser('route', help='edit the routes'))
    add_pool(commands.add_parser('pool', help='edit the pools'))
    add_replica(
        commands.add_parser('replica', help='replace a control replica')
    )
    add_data_centre(
        commands.add_parser('data-centre', help='evacuate a data centre')
    )
    add_status(commands.add_parser('status', help='show the fleet'))
    add_explain(
        commands.add_parser('explain', help='show decisions and their reasons')
    )
    add_trace(commands.add_parser('trace', help='show a timeline from logs'))
    return parser


def add_trace(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``trace``."""
    command.add_argument(
        'subject',
        metavar='CALLER|FLOW|SERVER|VERSION',
        help='a caller is given by its address, with or without the port',
    )
    command.add_argument(
        '--logs', type=Path, nargs='+', required=True, metavar='FILE'
    )
    command.add_argument(
        '--window',
        type=float,
        default=DEFAULT_WINDOW_SECONDS,
        metavar='SECONDS',
        help='time before and after the lines about the subject in which '
        'related lines are shown',
    )


def add_replica(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``replica``."""
    command.add_argument('action', choices=('replace',))
    command.add_argument('instance', help='the replica that lost its disk')
    command.add_argument('--control', action='append', required=True)


def add_data_centre(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``data-centre``."""
    actions = command.add_subparsers(dest='action', required=True)
    for action, description in DATA_CENTRE_ACTIONS.items():
        added = actions.add_parser(action, help=description)
        if action != 'list':
            added.add_argument('name')
        added.add_argument(
            '--control',
            action='append',
            required=True,
            metavar='INTERNAL-ADDRESS',
            help='a control instance; repeat for each',
        )


def add_status(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``status``."""
    add_targets(command)
    command.add_argument('--json', action='store_true', help='print JSON')


def add_explain(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``explain``."""
    command.add_argument(
        'subject',
        metavar='FLOW|REQUEST-ID|EDIT-ID',
        help='a flow is a hexadecimal key or CALLER-ADDRESS,SERVICE-ADDRESS',
    )
    add_targets(command)


def add_targets(command: argparse.ArgumentParser) -> None:
    """Add the HTTP addresses of the processes to query."""
    command.add_argument(
        '--at',
        action='append',
        required=True,
        metavar='HTTP-ADDRESS',
        help='a balancer or control replica; repeat for each',
    )


def add_check(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``check``."""
    command.add_argument('files', type=Path, nargs='+', metavar='FILE')


def add_check_configuration(command: argparse.ArgumentParser) -> None:
    """Add the arguments of ``check-configuration``."""
    command.add_argument(
        'file', type=Path, metavar='FILE', help='the JSON body to be sent'
    )
    command.add_argument(
        '--against',
        metavar='ADDRESS|FILE',
        help='the configuration in force: HOST:PORT where a control instance '
        'takes configurations, to read it from there, or a file',
    )
    command.add_argument('--json', action='store_true', help='print JSON')


def add_entry_arguments(command: argparse.ArgumentParser) -> None:
    """Add the arguments that ``route`` and ``pool`` have in common."""
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
