"""Edits of routes and pools."""

import argparse

from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    complain,
    complain_all,
    say,
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
    """Send an edit of a route or a pool."""
    table = fetch_table(arguments.control)
    if isinstance(table, Err):
        complain(table.error)
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
        complain(f'unknown: {sent.error}')
        return EXIT_FAILED
    return report_outcome(edit, sent.value)


def report_outcome(edit: Edit, outcome: EditOutcome | RepeatedEdit) -> int:
    """Print what became of an edit, and choose the exit code."""
    first = outcome.first if isinstance(outcome, RepeatedEdit) else outcome
    again = '' if first is outcome else ', as the first time'
    if isinstance(first, Accepted):
        say(f'edit {edit.edit_id} accepted as version {first.version}{again}')
        return EXIT_OK
    complain(f'edit {edit.edit_id} not accepted{again}')
    complain_all(reasons_of(first))
    return EXIT_FAILED


def reasons_of(outcome: EditOutcome) -> list[str]:
    """Tell why an edit was not accepted."""
    if isinstance(outcome, Conflict):
        winner = f'edit {outcome.winner_edit_id!r} changed the entry first'
        version = f'as version {outcome.winner_version}'
        return [f'{winner}, {version}; look at it and edit again']
    if isinstance(outcome, Refused):
        return [f'{one.place}: {one.message}' for one in outcome.findings]
    return ['no majority of the control replicas answered; nothing was kept']


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
