"""The ``route`` and ``pool`` commands: edits of the routing table."""

import argparse

from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    print_error,
    print_errors,
    print_line,
)
from mustardhold.daemons.operator_client import (
    fetch_table,
    make_deletion,
    make_edit,
    send_edit,
)
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    EditOutcome,
    EntryKind,
    Pool,
    Refused,
    RepeatedEdit,
    Route,
    Weighting,
)


def run_edit(arguments: argparse.Namespace) -> int:
    """Send an edit of a route or pool and print its outcome."""
    table = fetch_table(arguments.control)
    if isinstance(table, Err):
        print_error(table.error)
        return EXIT_FAILED
    kind = EntryKind(arguments.command)
    if arguments.action == 'delete':
        edit = make_deletion(
            table.value, kind, arguments.name, arguments.edit_id
        )
    else:
        edit = make_edit(table.value, make_entry(arguments), arguments.edit_id)
    sent = send_edit(arguments.control, edit)
    if isinstance(sent, Err):
        print_error(f'unknown: {sent.error}')
        return EXIT_FAILED
    return report_outcome(edit, sent.value)


def report_outcome(edit: Edit, outcome: EditOutcome | RepeatedEdit) -> int:
    """Print the outcome of an edit and return the exit code."""
    original = outcome.first if isinstance(outcome, RepeatedEdit) else outcome
    suffix = '' if original is outcome else ', as the first time'
    if isinstance(original, Accepted):
        print_line(
            f'edit {edit.edit_id} accepted as version '
            f'{original.version}{suffix}'
        )
        return EXIT_OK
    print_error(f'edit {edit.edit_id} not accepted{suffix}')
    print_errors(explain_rejection(original))
    return EXIT_FAILED


def explain_rejection(outcome: EditOutcome) -> list[str]:
    """Return the reasons why an edit was not accepted."""
    if isinstance(outcome, Conflict):
        winner = f'edit {outcome.winner_edit_id!r} changed the entry first'
        version = f'as version {outcome.winner_version}'
        return [f'{winner}, {version}; review that version and edit again']
    if isinstance(outcome, Refused):
        return [f'{one.place}: {one.message}' for one in outcome.findings]
    return ['no majority of the control replicas replied; edit not stored']


def make_entry(arguments: argparse.Namespace) -> Route | Pool:
    """Return the route or pool that the arguments describe."""
    if arguments.command == 'route':
        return Route(arguments.name, tuple(arguments.address))
    return Pool(
        arguments.name,
        tuple(arguments.server) or ('*',),
        tuple(arguments.drain),
        Weighting(arguments.weighting),
    )
