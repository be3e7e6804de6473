"""The control process: accepts edits and serves the tables."""

import functools
import logging
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.edit_log import EditLog, append_edit, open_log
from mustardhold.adapters.http_app import Ask, Reply, json_reply, make_app
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.stopping import stop_on_signal
from mustardhold.systems.edits import (
    EditState,
    apply_edit,
    first_outcome,
    judge_edit,
)
from mustardhold.tables.constants import LONG_POLL
from mustardhold.tables.options import ControlOptions
from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    EditOutcome,
    Refused,
    RepeatedEdit,
)
from mustardhold.tables.status import ControlStatus


@dataclass(slots=True)
class Control:
    """A running control replica."""

    options: ControlOptions
    state: EditState
    log_file: EditLog
    changed: trio.Event
    log: logging.Logger


def make_control(options: ControlOptions, log: logging.Logger) -> Control:
    """Open a replica's folder and rebuild its tables."""
    log_file, edits = open_log(Path(options.folder))
    state = EditState()
    for edit in edits:
        apply_edit(state, edit)
    return Control(options, state, log_file, trio.Event(), log)


def commit_edit(control: Control, edit: Edit) -> EditOutcome | RepeatedEdit:
    """Make an edit durable, then apply it."""
    repeated = first_outcome(control.state, edit.edit_id)
    if repeated is not None:
        return repeated
    outcome = judge_edit(control.state, edit)
    if isinstance(outcome, Accepted):
        append_edit(control.log_file, edit)
    outcome_applied = apply_edit(control.state, edit)
    if isinstance(outcome_applied, Accepted):
        control.changed.set()
        control.changed = trio.Event()
        control.log.info(
            'edit accepted',
            extra={'edit_id': edit.edit_id, 'version': outcome_applied.version},
        )
    return outcome_applied


def status_for(outcome: EditOutcome | RepeatedEdit) -> HTTPStatus:
    """Choose the HTTP status of an edit's outcome."""
    first = outcome.first if isinstance(outcome, RepeatedEdit) else outcome
    match first:
        case Accepted():
            return HTTPStatus.OK
        case Conflict():
            return HTTPStatus.CONFLICT
        case Refused():
            return HTTPStatus.UNPROCESSABLE_ENTITY
        case _:
            return HTTPStatus.SERVICE_UNAVAILABLE


async def take_edit(control: Control, ask: Ask) -> Reply:
    """Handle an operator's edit."""
    edit = msgspec.json.decode(ask.body, type=Edit)
    outcome = commit_edit(control, edit)
    return json_reply(outcome, status_for(outcome))


async def show_table(control: Control, ask: Ask) -> Reply:
    """Answer with the table, once it is newer than what the asker has."""
    after = msgspec.convert(ask.query.get('after', '-1'), int, strict=False)
    with trio.move_on_after(LONG_POLL.total_seconds()):
        while control.state.table.version <= after:
            await control.changed.wait()
    return json_reply(control.state.table)


async def show_status(control: Control, _: Ask) -> Reply:
    """Handle a question for the replica's status."""
    return json_reply(
        ControlStatus(
            control.options.instance_id,
            control.options.data_centre,
            control.state.table,
            control.log_file.entries,
        )
    )


async def run_control(
    options: ControlOptions, _: Clock, log: logging.Logger
) -> None:
    """Run a control replica until it is told to stop."""
    control = make_control(options, log)
    stopping = trio.Event()
    app = make_app(
        {
            ('POST', '/edits'): functools.partial(take_edit, control),
            ('GET', '/table'): functools.partial(show_table, control),
            ('GET', '/status'): functools.partial(show_status, control),
        }
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, stopping)
        log.info('control started', extra={'edits': control.log_file.entries})
        await serve_http(app, options.http_address, stopping)
        log.info('control stopped')
        nursery.cancel_scope.cancel()
