"""Ways of a packet through a balancer, each on real sockets."""

import functools
import logging
import math
import random
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.packet_codec import decode_packet, encode_packet
from mustardhold.adapters.peer_codec import encode_message
from mustardhold.daemons.balancer_packets import (
    handle_data_datagram,
    handle_peer_datagram,
)
from mustardhold.daemons.balancer_state import Balancer, make_balancer
from mustardhold.daemons.packet_loop import bind_socket, handle_batch
from mustardhold.systems.addresses import pack_address, split_address
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.routing import install_table
from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.constants import BUCKETS_PER_POOL, PACKETS_PER_BATCH
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.packets import Upload
from mustardhold.tables.peers import Relay
from mustardhold.tables.placement import Bindings, Placement, PlacementSet
from mustardhold.tables.routing import Pool, Route, RoutingTable
from mustardhold.tables.views import Member, View
from tools.processes import free_address

PAYLOAD = b'x' * 100
SERVICE = 'werkstatt'
SERVICE_ADDRESS = '10.20.0.1:443'
BARE = 'bare loop'
LOG = logging.getLogger('measure')

Drain = Callable[[], int]
Draw = Callable[[], bytes]


@dataclass(slots=True)
class Path:
    """One way of a packet that is timed.

    Attributes
    ----------
    draw
        Draws the next datagram.
    seconds
        Time of each batch.
    """

    name: str
    sock: socket.socket
    draw: Draw
    drain: Drain
    seconds: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Bench:
    """Sockets around the paths.

    Attributes
    ----------
    feeder
        Sends to the paths; it is the other balancer of the group as well.
    sink
        Stands for every backend server.
    """

    feeder: socket.socket
    sink: socket.socket
    rng: random.Random

    @property
    def sink_address(self) -> str:
        """Where backend servers listen."""
        return address_of(self.sink)


def address_of(sock: socket.socket) -> str:
    """Name a socket's address."""
    host, port = sock.getsockname()
    return f'{host}:{port}'


def flow_keys(count: int) -> list[bytes]:
    """Make flow keys of distinct callers."""
    service = pack_address(SERVICE_ADDRESS)
    return [
        pack_address(f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9')
        + service
        for number in range(count)
    ]


def make_balancer_under_test(
    bench: Bench, members: Sequence[str], flows: Sequence[bytes]
) -> Balancer:
    """Make a balancer with records of some flows on one server.

    Parameters
    ----------
    members
        Ids of the view; the balancer is ``b1`` where that is among them.
    """
    peer = free_address()
    group = [Member('b1', 'dc', peer)]
    group.append(Member('b2', 'dc', address_of(bench.feeder)))
    options = BalancerOptions(
        'b1',
        'dc',
        free_address(),
        peer,
        free_address(),
        (),
        tuple(group),
    )
    balancer = make_balancer(options, SystemClock(), LOG)
    tables = balancer.tables
    tables.view = View(
        1, {one.instance_id: one for one in group if one.instance_id in members}
    )
    tables.membership = None
    tables.lease_until = math.inf
    route = Route(SERVICE, (SERVICE_ADDRESS,))
    table = RoutingTable(1, {SERVICE: route}, {SERVICE: Pool(SERVICE)}, {})
    install_table(tables, table)
    server = BackendServer(
        's1',
        SERVICE,
        'dc',
        bench.sink_address,
        2,
        10**6,
        0,
        0,
        BackendState.READY,
        1,
        1,
    )
    store_announcement(tables, time.monotonic(), server)
    tables.flows_by_key.update(
        (flow, FlowRecord(SERVICE, 's1', is_primary=True)) for flow in flows
    )
    return balancer


def settle(balancer: Balancer) -> None:
    """Put placements in force in which every bucket is settled."""
    placement = Placement(
        SERVICE,
        tuple('s1' for _ in range(BUCKETS_PER_POOL)),
        frozenset(),
        frozenset(),
    )
    bindings = Bindings({pack_address(SERVICE_ADDRESS): SERVICE})
    balancer.tables.placements = PlacementSet(1, {SERVICE: placement}, bindings)


def draw_upload(bench: Bench, flows: Sequence[bytes]) -> bytes:
    """Make a packet of any of the flows."""
    return encode_packet(Upload(bench.rng.choice(flows), PAYLOAD))


def draw_relay(bench: Bench, flows: Sequence[bytes]) -> bytes:
    """Make a relayed packet of any of the flows."""
    packet = Upload(bench.rng.choice(flows), PAYLOAD)
    return encode_message(Relay('b2', 1, 1, packet))


def data_path(
    bench: Bench, name: str, balancer: Balancer, flows: Sequence[bytes]
) -> Path:
    """Time packets that come from the fabric."""
    sock = balancer.data_socket
    take = functools.partial(handle_data_datagram, balancer)
    drain = functools.partial(
        handle_batch, sock.recv, take, balancer.error_reporter
    )
    draw = functools.partial(draw_upload, bench, flows)
    return Path(name, sock, draw, drain)


def peer_path(
    bench: Bench, name: str, balancer: Balancer, flows: Sequence[bytes]
) -> Path:
    """Time packets that another balancer relays."""
    sock = balancer.peer_socket
    take = functools.partial(handle_peer_datagram, balancer)
    drain = functools.partial(
        handle_batch, sock.recvfrom, take, balancer.error_reporter
    )
    draw = functools.partial(draw_relay, bench, flows)
    return Path(name, sock, draw, drain)


def bare_path(bench: Bench, flows: Sequence[bytes]) -> Path:
    """Time a loop that decodes each packet and sends it on."""
    sock = bind_socket(free_address())
    target = split_address(bench.sink_address)

    def drain() -> int:
        for taken in range(PACKETS_PER_BATCH):
            try:
                raw = sock.recv(65_535)
            except BlockingIOError:
                return taken
            if decode_packet(raw) is not None:
                sock.sendto(raw, target)
        return PACKETS_PER_BATCH

    draw = functools.partial(draw_upload, bench, flows)
    return Path(BARE, sock, draw, drain)


def empty(sock: socket.socket) -> int:
    """Throw away what has arrived; count it."""
    count = 0
    while True:
        try:
            sock.recv(65_535)
        except BlockingIOError:
            return count
        count += 1
