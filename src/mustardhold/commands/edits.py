"""Edits of routes and pools."""

import argparse

from mustardhold.commands.output import EXIT_FAILED, EXIT_OK, complain, say
from mustardhold.daemons.operator import (
    fetch_table,
    make_deletion,
    make_edit,
    send_edit,
)
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import (
    Accepted,
    EntryKind,
    Pool,
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
    outcome = sent.value
    say(outcome)
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
