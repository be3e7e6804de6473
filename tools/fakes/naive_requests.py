"""Naive request handling, for comparison.

Flows are placed and relayed by the product; only requests and answers are
handled differently.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from mustardhold.systems import affinity, peers
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller
from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    CallerPacket,
    NotRun,
    Request,
    Shed,
)
from mustardhold.tables.peers import PeerMessage, Relay
from tools.fakes.fleet import Logic

RETRY_SECONDS = 0.25
MAX_RETRIES = 3
MS_PER_SECOND = 1000
SHARED_QUEUE_LIMIT = 256
SHARED_IN_FLIGHT_LIMIT = 64


@dataclass(slots=True)
class PendingRequest:
    """An unanswered request and the time of its next retry or its timeout."""

    request: Request
    due_at: float
    retries: int = 0


@dataclass(slots=True)
class NaiveRequestTables:
    """Request tables of the naive balancers, by instance id."""

    pending: dict[str, dict[bytes, PendingRequest]] = field(
        default_factory=dict
    )
    flow_by_request_id: dict[tuple[str, bytes], bytes] = field(
        default_factory=dict
    )


HandleRequest = Callable[[BalancerTables, float, Request, Outbox], None]
HandleAnswer = Callable[[BalancerTables, Answer | Shed, Outbox], None]
Tick = Callable[[BalancerTables, float, Outbox], None]


def forward(tables: BalancerTables, packet: Request, outbox: Outbox) -> None:
    """Forward a request to the server of its flow, if that is known."""
    record = tables.flows_by_key.get(packet.flow)
    known = tables.backends_by_id.get(record.backend_id) if record else None
    if known is not None:
        outbox.append(ToBackend(known.announced.address, packet))


def forward_answer(
    tables: BalancerTables, packet: Answer | Shed, outbox: Outbox
) -> None:
    """Forward an answer to the caller, and a shed request as not run."""
    if isinstance(packet, Shed):
        outbox.append(ToCaller(NotRun(packet.flow, packet.request_id, 'shed')))
    else:
        outbox.append(ToCaller(packet))


def make_logic(
    handle_request: HandleRequest, handle_answer: HandleAnswer, tick: Tick
) -> Logic:
    """Make balancers that replace the product's request and answer handling."""

    def handle_caller_packet(
        tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
    ) -> None:
        owners = owners_of_flow(tables, packet.flow)
        if isinstance(packet, Request) and tables.instance_id in owners[:1]:
            handle_request(tables, now, packet, outbox)
        else:
            affinity.handle_caller_packet(tables, now, packet, outbox)

    def handle_backend_packet(
        tables: BalancerTables,
        now: float,
        packet: BackendPacket,
        outbox: Outbox,
    ) -> None:
        if isinstance(packet, Answer | Shed):
            handle_answer(tables, packet, outbox)
        else:
            affinity.handle_backend_packet(tables, now, packet, outbox)

    def handle_peer_message(
        tables: BalancerTables, now: float, message: PeerMessage, outbox: Outbox
    ) -> None:
        if isinstance(message, Relay) and isinstance(message.packet, Request):
            handle_request(tables, now, message.packet, outbox)
        else:
            peers.handle_peer_message(tables, now, message, outbox)

    def run_tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
        tick(tables, now, outbox)
        peers.tick(tables, now, outbox)

    return Logic(
        handle_caller_packet,
        handle_backend_packet,
        handle_peer_message,
        run_tick,
    )


def skip_tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Do nothing on a tick."""


def make_blind_retry() -> Logic:
    """Make balancers that retry any unanswered request up to three times."""
    state = NaiveRequestTables()

    def handle_request(
        tables: BalancerTables, now: float, packet: Request, outbox: Outbox
    ) -> None:
        pending_by_id = state.pending.setdefault(tables.instance_id, {})
        pending_by_id[packet.request_id] = PendingRequest(
            packet, now + RETRY_SECONDS
        )
        forward(tables, packet, outbox)

    def handle_answer(
        tables: BalancerTables, packet: Answer | Shed, outbox: Outbox
    ) -> None:
        state.pending.get(tables.instance_id, {}).pop(packet.request_id, None)
        forward_answer(tables, packet, outbox)

    def tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
        pending_by_id = state.pending.get(tables.instance_id, {})
        for pending in pending_by_id.values():
            if pending.due_at <= now and pending.retries < MAX_RETRIES:
                pending.retries += 1
                pending.due_at = now + RETRY_SECONDS
                forward(tables, pending.request, outbox)

    return make_logic(handle_request, handle_answer, tick)


def make_timeout_not_run() -> Logic:
    """Make balancers that report a request as not run at its deadline."""
    state = NaiveRequestTables()

    def handle_request(
        tables: BalancerTables, now: float, packet: Request, outbox: Outbox
    ) -> None:
        pending_by_id = state.pending.setdefault(tables.instance_id, {})
        due_at = now + packet.deadline_ms / MS_PER_SECOND
        if packet.request_id not in pending_by_id:
            pending_by_id[packet.request_id] = PendingRequest(packet, due_at)
            forward(tables, packet, outbox)

    def tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
        for pending in state.pending.get(tables.instance_id, {}).values():
            if pending.due_at <= now and not pending.retries:
                pending.retries += 1
                request = pending.request
                outbox.append(
                    ToCaller(
                        NotRun(request.flow, request.request_id, 'timeout')
                    )
                )

    return make_logic(handle_request, forward_answer, tick)


def make_answers_by_id() -> Logic:
    """Make balancers that match answers to flows by the request id alone."""
    state = NaiveRequestTables()

    def handle_request(
        tables: BalancerTables, now: float, packet: Request, outbox: Outbox
    ) -> None:
        name = tables.instance_id
        state.flow_by_request_id[name, packet.request_id] = packet.flow
        forward(tables, packet, outbox)

    def handle_answer(
        tables: BalancerTables, packet: Answer | Shed, outbox: Outbox
    ) -> None:
        name = tables.instance_id
        flow = state.flow_by_request_id.get((name, packet.request_id))
        if flow is not None:
            matched = msgspec.structs.replace(packet, flow=flow)
            forward_answer(tables, matched, outbox)

    return make_logic(handle_request, handle_answer, skip_tick)


def make_shared_queue() -> Logic:
    """Make balancers that each have one FIFO request queue for all services."""
    waiting: dict[str, deque[Request]] = {}
    in_flight: dict[str, dict[bytes, float]] = {}

    def handle_request(
        tables: BalancerTables, now: float, packet: Request, outbox: Outbox
    ) -> None:
        queue = waiting.setdefault(tables.instance_id, deque())
        if len(queue) >= SHARED_QUEUE_LIMIT:
            outbox.append(
                ToCaller(NotRun(packet.flow, packet.request_id, 'overloaded'))
            )
            return
        queue.append(packet)
        send_queued(tables, now, outbox)

    def send_queued(tables: BalancerTables, now: float, outbox: Outbox) -> None:
        name = tables.instance_id
        queue = waiting.setdefault(name, deque())
        due_by_request = in_flight.setdefault(name, {})
        expired = [
            key for key, due_at in due_by_request.items() if due_at <= now
        ]
        for key in expired:
            due_by_request.pop(key)
        while queue and len(due_by_request) < SHARED_IN_FLIGHT_LIMIT:
            packet = queue.popleft()
            due_at = now + packet.deadline_ms / MS_PER_SECOND
            due_by_request[packet.flow + packet.request_id] = due_at
            forward(tables, packet, outbox)

    def handle_answer(
        tables: BalancerTables, packet: Answer | Shed, outbox: Outbox
    ) -> None:
        for due_by_request in in_flight.values():
            due_by_request.pop(packet.flow + packet.request_id, None)
        forward_answer(tables, packet, outbox)

    return make_logic(handle_request, handle_answer, send_queued)
