"""Fake backend servers: flows, slots, and reports that may be wrong."""

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

Reply = Callable[[BackendPacket], None]


@dataclass(slots=True)
class FakeServer:
    """A backend server.

    Attributes
    ----------
    service_seconds
        Time that a request occupies a slot.
    queue_limit
        Requests that wait for a slot before the server sheds.
    claimed_load, claimed_connections
        What the server reports in place of its own figures, if anything.
    lag_reports
        Announcements by which the reported connections are late.
    refused_opens
        Openings that arrived while the server was full.
    foreign_packets
        Packets of flows that the server does not hold.
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
    flows: set[bytes] = field(default_factory=set)
    busy_until: list[float] = field(default_factory=list)
    runs_by_request: Counter[bytes] = field(default_factory=Counter)
    cancelled: set[bytes] = field(default_factory=set)
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
        """Count the flows as the server reports them."""
        if self.claimed_connections is not None:
            return self.claimed_connections
        kept = [*self.past_connections, len(self.flows)]
        self.past_connections = kept[-self.lag_reports - 1 :]
        return self.past_connections[0]


def make_servers(
    pool: str, count: int, data_centre: str = 'dc-1', slots: int = 2
) -> tuple[FakeServer, ...]:
    """Make the servers of a pool, with addresses of their own."""
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
    """Act on a packet from a balancer."""
    if isinstance(packet, Open):
        serve_open(queue, server, packet, reply)
    elif packet.flow in server.flows:
        serve_flow(queue, server, packet, reply)
    else:
        server.foreign_packets += not isinstance(packet, Close)
        reply(FlowEnded(packet.flow))


def serve_flow(
    queue: EventQueue, server: FakeServer, packet: Packet, reply: Reply
) -> None:
    """Act on a packet of a flow that the server holds."""
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
    """Accept a flow, or refuse it where the server is full."""
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
    """Run a request once a slot is free, or shed it."""
    if server.busy >= server.slots + server.queue_limit:
        reply(Shed(packet.flow, packet.request_id))
        return
    server.busy += 1
    server.runs_by_request[packet.request_id] += 1
    running = [end for end in server.busy_until if end > queue.now]
    running.sort()
    waiting = len(running) - server.slots
    start = running[waiting] if waiting >= 0 else queue.now
    end = start + server.service_seconds
    server.busy_until = [*running, end]

    def answer() -> None:
        server.busy -= 1
        if packet.request_id in server.cancelled or not server.alive:
            return
        for part in range(ANSWER_PARTS):
            reply(
                Answer(
                    packet.flow,
                    packet.request_id,
                    part,
                    ANSWER_PARTS,
                    packet.payload,
                )
            )

    schedule(queue, end - queue.now, answer)
