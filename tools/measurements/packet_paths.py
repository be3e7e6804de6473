"""Packet paths through a balancer, timed on real sockets."""

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

DrainSocket = Callable[[], int]
MakeDatagram = Callable[[], bytes]


@dataclass(slots=True)
class PacketPath:
    """A timed packet path.

    Attributes
    ----------
    make_datagram
        Creates the next datagram to send.
    seconds
        Duration of each batch.
    """

    name: str
    sock: socket.socket
    make_datagram: MakeDatagram
    drain: DrainSocket
    seconds: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Testbed:
    """Sockets that send packets to the paths and receive their output.

    Attributes
    ----------
    feeder
        Sends to the paths, and acts as the other balancer of the group.
    sink
        Acts as every backend server.
    """

    feeder: socket.socket
    sink: socket.socket
    rng: random.Random

    @property
    def sink_address(self) -> str:
        """Address of the backend servers."""
        return address_of(self.sink)


def address_of(sock: socket.socket) -> str:
    """Return the address of a socket as ``ip:port``."""
    host, port = sock.getsockname()
    return f'{host}:{port}'


def flow_keys(count: int) -> list[bytes]:
    """Return flow keys of distinct callers."""
    service = pack_address(SERVICE_ADDRESS)
    return [
        pack_address(f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9')
        + service
        for number in range(count)
    ]


def make_balancer_under_test(
    testbed: Testbed, members: Sequence[str], flows: Sequence[bytes]
) -> Balancer:
    """Create a balancer that has records of flows to one server.

    Parameters
    ----------
    members
        Ids of the members of the view. The balancer is ``b1``, which owns all
        buckets if it is the only member and none if it is not a member.
    """
    peer = free_address()
    group = [Member('b1', 'dc', peer)]
    group.append(Member('b2', 'dc', address_of(testbed.feeder)))
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
        testbed.sink_address,
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


def install_settled_placements(balancer: Balancer) -> None:
    """Install placements in which every bucket is settled."""
    placement = Placement(
        SERVICE,
        tuple('s1' for _ in range(BUCKETS_PER_POOL)),
        frozenset(),
        frozenset(),
    )
    bindings = Bindings({pack_address(SERVICE_ADDRESS): SERVICE})
    balancer.tables.placements = PlacementSet(1, {SERVICE: placement}, bindings)


def make_upload_datagram(testbed: Testbed, flows: Sequence[bytes]) -> bytes:
    """Encode an upload of a random flow."""
    return encode_packet(Upload(testbed.rng.choice(flows), PAYLOAD))


def make_relay_datagram(testbed: Testbed, flows: Sequence[bytes]) -> bytes:
    """Encode a relayed upload of a random flow."""
    packet = Upload(testbed.rng.choice(flows), PAYLOAD)
    return encode_message(Relay('b2', 1, 1, packet))


def data_path(
    testbed: Testbed, name: str, balancer: Balancer, flows: Sequence[bytes]
) -> PacketPath:
    """Create the path of packets from the fabric."""
    sock = balancer.data_socket
    handle = functools.partial(handle_data_datagram, balancer)
    drain = functools.partial(
        handle_batch, sock.recv, handle, balancer.error_reporter
    )
    make_datagram = functools.partial(make_upload_datagram, testbed, flows)
    return PacketPath(name, sock, make_datagram, drain)


def peer_path(
    testbed: Testbed, name: str, balancer: Balancer, flows: Sequence[bytes]
) -> PacketPath:
    """Create the path of packets that another balancer relays."""
    sock = balancer.peer_socket
    handle = functools.partial(handle_peer_datagram, balancer)
    drain = functools.partial(
        handle_batch, sock.recvfrom, handle, balancer.error_reporter
    )
    make_datagram = functools.partial(make_relay_datagram, testbed, flows)
    return PacketPath(name, sock, make_datagram, drain)


def bare_path(testbed: Testbed, flows: Sequence[bytes]) -> PacketPath:
    """Create the path of a loop that only decodes and forwards packets."""
    sock = bind_socket(free_address())
    target = split_address(testbed.sink_address)

    def drain() -> int:
        for handled in range(PACKETS_PER_BATCH):
            try:
                raw = sock.recv(65_535)
            except BlockingIOError:
                return handled
            if decode_packet(raw) is not None:
                sock.sendto(raw, target)
        return PACKETS_PER_BATCH

    make_datagram = functools.partial(make_upload_datagram, testbed, flows)
    return PacketPath(BARE, sock, make_datagram, drain)


def discard_received(sock: socket.socket) -> int:
    """Discard all received datagrams and return their number."""
    count = 0
    while True:
        try:
            sock.recv(65_535)
        except BlockingIOError:
            return count
        count += 1
