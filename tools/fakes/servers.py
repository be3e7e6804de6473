"""Fake backend servers with flows, slots and possibly wrong reports."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    Cancel,
    Close,
    Download,
    FlowEnded,
    Open,
    Opened,
    Packet,
    Request,
    Shed,
    Upload,
)
from tools.fakes.event_queue import EventQueue, schedule

ANSWER_PARTS = 2
MS_PER_SECOND = 1000

Reply = Callable[[BackendPacket], None]


@dataclass(slots=True)
class FakeServer:
    """A simulated backend server and its counters.

    Attributes
    ----------
    service_seconds
        Time that a request occupies a slot, in seconds.
    queue_limit
        Queued requests beyond which the server sheds.
    shed_share, slow_share
        Fractions of requests that are shed, and that take ``slow_seconds``.
    dropped
        Requests that were cancelled or past their deadline before a slot was
        free.
    runs_by_request
        Executions by concatenated flow key and request id; ``run_times`` has
        their virtual times.
    claimed_load, claimed_connections
        False values to report in place of the actual ones, if set.
    lag_reports
        Number of announcements by which the reported connections lag.
    refused_opens
        Openings received while the server was full.
    foreign_packets
        Packets of flows that the server does not have.
    foreign_flows
        The flows of those packets.
    """

    backend_id: str
    pool: str
    data_centre: str
    address: str
    slots: int = 2
    connection_limit: int = 2000
    service_seconds: float = 0.01
    queue_limit: int = 64
    announce_seconds: float = 0.5
    state: BackendState = BackendState.READY
    claimed_load: float | None = None
    claimed_connections: int | None = None
    lag_reports: int = 0
    past_connections: list[int] = field(default_factory=list)
    incarnation: int = 1
    alive: bool = True
    busy: int = 0
    opened: int = 0
    refused_opens: int = 0
    foreign_packets: int = 0
    foreign_flows: set[bytes] = field(default_factory=set)
    flows: set[bytes] = field(default_factory=set)
    busy_until: list[float] = field(default_factory=list)
    runs_by_request: Counter[bytes] = field(default_factory=Counter)
    run_times: dict[bytes, list[float]] = field(default_factory=dict)
    cancelled: set[bytes] = field(default_factory=set)
    answered: set[bytes] = field(default_factory=set)
    shed_share: float = 0
    slow_share: float = 0
    slow_seconds: float = 3
    shed: int = 0
    dropped: int = 0
    opened_at: dict[bytes, float] = field(default_factory=dict)
    sequences: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def announce(self) -> BackendServer:
        """Make the next announcement."""
        load = self.busy / self.slots
        claimed = self.claimed_load
        return BackendServer(
            self.backend_id,
            self.pool,
            self.data_centre,
            self.address,
            self.slots,
            self.connection_limit,
            self.reported_connections(),
            min(load, 1) if claimed is None else claimed,
            self.state,
            self.incarnation,
            next(self.sequences),
        )

    def reported_connections(self) -> int:
        """Return the number of connections that the server reports."""
        if self.claimed_connections is not None:
            return self.claimed_connections
        history = [*self.past_connections, len(self.flows)]
        self.past_connections = history[-self.lag_reports - 1 :]
        return self.past_connections[0]


def make_servers(
    pool: str, count: int, data_centre: str = 'dc-1', slots: int = 2
) -> tuple[FakeServer, ...]:
    """Make the servers of a pool, with distinct addresses."""
    return tuple(
        FakeServer(
            f'{pool}-{number}',
            pool,
            data_centre,
            f'{pool}-{number}.{data_centre}:1',
            slots,
        )
        for number in range(1, count + 1)
    )


def serve_packet(
    queue: EventQueue, server: FakeServer, packet: Packet, reply: Reply
) -> None:
    """Process a packet; end the flow if the server does not have it."""
    if isinstance(packet, Open):
        serve_open(queue, server, packet, reply)
    elif packet.flow in server.flows:
        serve_flow(queue, server, packet, reply)
    else:
        server.foreign_packets += not isinstance(packet, Close)
        server.foreign_flows.add(packet.flow)
        reply(FlowEnded(packet.flow))


def serve_flow(
    queue: EventQueue, server: FakeServer, packet: Packet, reply: Reply
) -> None:
    """Process a packet of a flow that the server has."""
    match packet:
        case Request():
            serve_request(queue, server, packet, reply)
        case Upload(flow=flow):
            reply(Download(flow, 0, server.backend_id.encode()))
        case Cancel(request_id=request_id):
            server.cancelled.add(request_id)
        case Close(flow=flow):
            server.flows.discard(flow)


def serve_open(
    queue: EventQueue, server: FakeServer, packet: Open, reply: Reply
) -> None:
    """Accept a flow, or refuse it if the server is full."""
    flow = packet.flow
    is_full = len(server.flows) >= server.connection_limit
    if flow not in server.flows and is_full:
        server.refused_opens += 1
        reply(FlowEnded(flow))
        return
    if flow not in server.flows:
        server.opened += 1
        server.opened_at[flow] = queue.now
    server.flows.add(flow)
    reply(Opened(flow, server.backend_id))


def serve_request(
    queue: EventQueue, server: FakeServer, packet: Request, reply: Reply
) -> None:
    """Run a request when a slot is free, or shed it if the queue is full."""
    is_full = server.busy >= server.slots + server.queue_limit
    if is_full or draw_bool(queue, server.shed_share):
        server.shed += 1
        reply(Shed(packet.flow, packet.request_id))
        return
    server.busy += 1
    running = [end for end in server.busy_until if end > queue.now]
    running.sort()
    waiting = len(running) - server.slots
    start = running[waiting] if waiting >= 0 else queue.now
    seconds = server.service_seconds
    if draw_bool(queue, server.slow_share):
        seconds = server.slow_seconds
    server.busy_until = [*running, start + seconds]
    limit = queue.now + packet.deadline_ms / MS_PER_SECOND

    def begin() -> None:
        if packet.request_id in server.cancelled or queue.now > limit:
            server.busy -= 1
            server.dropped += 1
            return
        key = packet.flow + packet.request_id
        server.runs_by_request[key] += 1
        server.run_times.setdefault(key, []).append(queue.now)
        schedule(queue, seconds, lambda: answer_request(server, packet, reply))

    schedule(queue, start - queue.now, begin)


def draw_bool(queue: EventQueue, share: float) -> bool:
    """Return True with a given probability."""
    return share > 0 and queue.rng.random() < share


def answer_part(payload: bytes, part: int) -> bytes:
    """Make one part of the answer to a request."""
    return payload + bytes((part,))


def answer_request(server: FakeServer, packet: Request, reply: Reply) -> None:
    """Send the answer to a request in two parts, unless it is cancelled."""
    server.busy -= 1
    if packet.request_id in server.cancelled or not server.alive:
        return
    server.answered.add(packet.flow + packet.request_id)
    for part in range(ANSWER_PARTS):
        reply(
            Answer(
                packet.flow,
                packet.request_id,
                part,
                ANSWER_PARTS,
                answer_part(packet.payload, part),
            )
        )
