"""The control process: accepts edits and serves the tables."""

import functools
import logging
import sys
from collections.abc import Mapping
from http import HTTPStatus

import httpx
import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.disk import FolderInUseError
from mustardhold.adapters.http_app import (
    Application,
    Ask,
    Reply,
    json_reply,
    make_app,
    refuse,
)
from mustardhold.adapters.http_server import serve_http
from mustardhold.adapters.metrics import render_counters
from mustardhold.adapters.records import DamagedFileError
from mustardhold.adapters.replica_store import ForeignFolderError
from mustardhold.daemons.control_pages import (
    show_explanation,
    show_status,
    show_table,
)
from mustardhold.daemons.replica_links import Envelope, Links
from mustardhold.daemons.replica_node import (
    AnyOutcome,
    ReplicaNode,
    WaitingEdit,
    close_node,
    follow_effects,
    make_node,
    run_replica,
)
from mustardhold.daemons.stopping import stop_on_signal
from mustardhold.daemons.table_pages import show_changes
from mustardhold.systems import consensus
from mustardhold.systems.replica_membership import replace_replica
from mustardhold.tables.consensus import (
    Effects,
    NotLeader,
    Pending,
    ReplicaMember,
    Role,
)
from mustardhold.tables.constants import (
    EDIT_TIMEOUT,
    MAX_REPLICA_BODY_BYTES,
)
from mustardhold.tables.options import ControlOptions
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    NoQuorum,
    Refused,
    RepeatedEdit,
    Unknown,
)

FOLDER_ERRORS = (
    FolderInUseError,
    ForeignFolderError,
    DamagedFileError,
    OSError,
)
FORWARDED: Mapping[str, str] = {'forwarded': '1'}

_edit_decoder = msgspec.json.Decoder(Edit)
_envelope_decoder = msgspec.json.Decoder(Envelope)


def status_for(outcome: AnyOutcome) -> HTTPStatus:
    """Choose the HTTP status of an edit's outcome."""
    first = outcome.first if isinstance(outcome, RepeatedEdit) else outcome
    match first:
        case Accepted():
            return HTTPStatus.OK
        case Conflict():
            return HTTPStatus.CONFLICT
        case Refused():
            return HTTPStatus.UNPROCESSABLE_ENTITY
        case Unknown():
            return HTTPStatus.GATEWAY_TIMEOUT
        case _:
            return HTTPStatus.SERVICE_UNAVAILABLE


def edit_reply(outcome: AnyOutcome) -> Reply:
    """Answer with an edit's outcome."""
    return json_reply(outcome, status_for(outcome))


async def take_edit(node: ReplicaNode, ask: Ask) -> Reply:
    """Handle an operator's edit; only a committed one is accepted."""
    edit = _edit_decoder.decode(ask.body)
    proposed, effects = consensus.propose_edit(
        node.replica,
        node.clock.monotonic(),
        edit,
        node.clock.now().timestamp(),
    )
    if isinstance(proposed, NotLeader):
        return await forward_edit(node, proposed.leader, ask)
    if not isinstance(proposed, Pending):
        return edit_reply(proposed)
    waiting = WaitingEdit(proposed.term)
    node.waiting_by_index[proposed.index] = waiting
    follow_effects(node, effects)
    with trio.move_on_after(EDIT_TIMEOUT.total_seconds()):
        await waiting.done.wait()
    node.waiting_by_index.pop(proposed.index, None)
    count_outcome(node, waiting.outcome)
    return edit_reply(waiting.outcome)


def count_outcome(node: ReplicaNode, outcome: AnyOutcome) -> None:
    """Count the outcome of an edit that this leader took."""
    node.replica.counters['edit', type(outcome).__name__.lower()] += 1


async def forward_edit(
    node: ReplicaNode, leader: ReplicaMember | None, ask: Ask
) -> Reply:
    """Hand an edit to the leader, and pass its answer on."""
    if leader is None or node.links is None or 'forwarded' in ask.query:
        return edit_reply(NoQuorum(leader.instance_id if leader else None))
    try:
        reply = await node.links.client.post(
            f'http://{leader.http_address}/edits',
            params=FORWARDED,
            content=ask.body,
            timeout=EDIT_TIMEOUT.total_seconds() + 1,
        )
    except (httpx.ConnectError, httpx.ConnectTimeout):
        return edit_reply(NoQuorum(leader.instance_id))
    except httpx.HTTPError:
        return edit_reply(Unknown())
    return Reply(HTTPStatus(reply.status_code), reply.content)


async def take_message(node: ReplicaNode, ask: Ask) -> Reply:
    """Handle a message of another replica."""
    envelope = _envelope_decoder.decode(ask.body)
    if envelope.receiver_uid not in {'', node.replica.me.uid}:
        node.replica.counters['membership', 'foreign-folder'] += 1
        return refuse('receiver_uid', 'is another folder', HTTPStatus.CONFLICT)
    now = node.clock.monotonic()
    follow_effects(node, consensus.step(node.replica, now, envelope.message))
    return Reply(HTTPStatus.NO_CONTENT, b'')


async def take_replacement(node: ReplicaNode, ask: Ask) -> Reply:
    """Handle an operator's wish to replace a replica by its new folder."""
    leader = node.replica.leader
    is_leader = node.replica.role is Role.LEADER
    if not is_leader and leader and 'forwarded' not in ask.query:
        return await forward_replacement(node, leader, ask)
    effects = Effects()
    taken = replace_replica(
        node.replica,
        node.clock.monotonic(),
        ask.query.get('replace', ''),
        effects,
    )
    if isinstance(taken, Err):
        return json_reply(Refused((taken.error,)), HTTPStatus.CONFLICT)
    follow_effects(node, effects)
    return json_reply(taken.value, HTTPStatus.ACCEPTED)


async def forward_replacement(
    node: ReplicaNode, leader: ReplicaMember, ask: Ask
) -> Reply:
    """Hand the wish to the leader, and pass its answer on."""
    try:
        async with httpx.AsyncClient() as client:
            reply = await client.post(
                f'http://{leader.http_address}/replicas',
                params={**ask.query, **FORWARDED},
            )
    except httpx.HTTPError as error:
        return refuse('leader', str(error), HTTPStatus.BAD_GATEWAY)
    return Reply(HTTPStatus(reply.status_code), reply.content)


async def show_metrics(node: ReplicaNode, _: Ask) -> Reply:
    """Handle a scrape of the metrics."""
    return render_counters(node.replica.counters)


def make_pages(node: ReplicaNode) -> Application:
    """Make the application of a control replica."""
    return make_app(
        {
            ('POST', '/edits'): functools.partial(take_edit, node),
            ('POST', '/replica'): functools.partial(take_message, node),
            ('POST', '/replicas'): functools.partial(take_replacement, node),
            ('GET', '/table'): functools.partial(show_table, node),
            ('GET', '/changes'): functools.partial(show_changes, node.watch),
            ('GET', '/status'): functools.partial(show_status, node),
            ('GET', '/explain'): functools.partial(show_explanation, node),
            ('GET', '/metrics'): functools.partial(show_metrics, node),
        },
        MAX_REPLICA_BODY_BYTES,
    )


async def run_control(
    options: ControlOptions, clock: Clock, log: logging.Logger
) -> None:
    """Run a control replica until it is told to stop.

    A folder that cannot be used ends the process with exit code 1.
    """
    try:
        node = make_node(options, clock, log)
    except FOLDER_ERRORS as error:
        log.critical('data folder refused', extra={'reason': repr(error)})
        sys.exit(1)
    async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
        node.links = Links(client, nursery, node.replica.counters, log)
        nursery.start_soon(stop_on_signal, node.stopping)
        nursery.start_soon(run_replica, node)
        log.info(
            'control started',
            extra={'edits': node.replica.edits.table.version},
        )
        await serve_http(make_pages(node), options.http_address, node.stopping)
        log.info('control stopped')
        nursery.cancel_scope.cancel()
    close_node(node)
    if node.failure is not None:
        sys.exit(1)
