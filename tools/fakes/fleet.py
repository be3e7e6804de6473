"""A group of balancers over a fake network, with fake callers and servers.

The handlers are those of the product or of a naive version, and are passed in
as plain functions. Time is virtual, and a seed determines every random choice.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from mustardhold.adapters.peer_codec import encode_message
from mustardhold.systems import affinity, peers
from mustardhold.systems.addresses import pack_address
from mustardhold.systems.announcements import handle_announcement
from mustardhold.systems.coordination import make_member_tables
from mustardhold.systems.leaving import has_left
from mustardhold.systems.routing import install_table
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import GRANT_LIFETIME, STOP_BOUND, TICK
from mustardhold.tables.hedging import HedgingOptions
from mustardhold.tables.outbox import Outbox, ToBackend, ToPeer
from mustardhold.tables.packets import BackendPacket, CallerPacket
from mustardhold.tables.peers import PeerMessage, RecordChain, Relay
from mustardhold.tables.routing import Pool, Route, RoutingTable
from mustardhold.tables.views import Member
from tools.fakes.callers import CallerFlow, record_packet
from tools.fakes.event_queue import (
    Action,
    EventQueue,
    make_queue,
    schedule,
    schedule_every,
)
from tools.fakes.network import Network, send
from tools.fakes.servers import FakeServer, serve_packet

FABRIC = 'fabric'
DATA_CENTRE = 'dc-1'
# The first balancers have not run before, so they need not wait until grants
# of an earlier run expire.
FOUNDED_AT = -GRANT_LIFETIME.total_seconds()
LINGER_SECONDS = 0.5
DATA_MESSAGES = (Relay, RecordChain)


@dataclass(frozen=True, slots=True)
class Logic:
    """The packet, message and tick handlers of a balancer."""

    handle_caller_packet: Callable[
        [BalancerTables, float, CallerPacket, Outbox], None
    ]
    handle_backend_packet: Callable[
        [BalancerTables, float, BackendPacket, Outbox], None
    ]
    handle_peer_message: Callable[
        [BalancerTables, float, PeerMessage, Outbox], None
    ]
    tick: Callable[[BalancerTables, float, Outbox], None]


PRODUCT = Logic(
    affinity.handle_caller_packet,
    affinity.handle_backend_packet,
    peers.handle_peer_message,
    peers.tick,
)


@dataclass(slots=True)
class Fleet:
    """The balancers, backend servers, flows and network of a run.

    Attributes
    ----------
    spray_targets
        Balancers among which the fabric sprays packets at random.
    backlog_by_frozen_balancer
        Deliveries waiting in the socket buffers of frozen balancers.
    bytes_by_message
        Bytes sent by ``(balancer, message type)``.
    """

    queue: EventQueue
    network: Network
    logic: Logic
    address_by_service: Mapping[str, str]
    balancers_by_id: dict[str, BalancerTables] = field(default_factory=dict)
    spray_targets: list[str] = field(default_factory=list)
    servers_by_id: dict[str, FakeServer] = field(default_factory=dict)
    flows_by_key: dict[bytes, CallerFlow] = field(default_factory=dict)
    backlog_by_frozen_balancer: dict[str, list[Action]] = field(
        default_factory=dict
    )
    bytes_by_message: Counter[tuple[str, str]] = field(default_factory=Counter)
    group_by_id: dict[str, Member] = field(default_factory=dict)
    hedging: HedgingOptions | None = None
    starts: int = 0
    packets: int = 0
    relayed: int = 0


def make_fleet(
    seed: int,
    logic: Logic,
    balancer_ids: tuple[str, ...],
    servers: tuple[FakeServer, ...],
    hedging: HedgingOptions | None = None,
) -> Fleet:
    """Make a fleet whose balancers are in one data centre."""
    placed = dict.fromkeys(balancer_ids, DATA_CENTRE)
    return make_spanning_fleet(seed, logic, placed, servers, hedging)


def make_spanning_fleet(
    seed: int,
    logic: Logic,
    data_centre_by_balancer: Mapping[str, str],
    servers: tuple[FakeServer, ...],
    hedging: HedgingOptions | None = None,
) -> Fleet:
    """Make a fleet whose balancers may be in several data centres.

    The balancers form one group, and the servers announce themselves to them.
    Each pool gets a route with a distinct address.
    """
    queue = make_queue(seed)
    services = sorted({server.pool for server in servers})
    addresses = {
        service: f'10.20.0.{number}:443'
        for number, service in enumerate(services, start=1)
    }
    fleet = Fleet(queue, Network(queue), logic, addresses, hedging=hedging)
    fleet.group_by_id = {
        name: Member(name, data_centre, '127.0.0.1:1')
        for name, data_centre in data_centre_by_balancer.items()
    }
    for name in data_centre_by_balancer:
        start_balancer(fleet, name, started_at=FOUNDED_AT)
    for server in servers:
        add_server(fleet, server)
    return fleet


def routing_table(fleet: Fleet, version: int, *pools: Pool) -> RoutingTable:
    """Make a table with a route for each service, and default pools."""
    routes = {
        name: Route(name, (address,))
        for name, address in fleet.address_by_service.items()
    }
    entries = {name: Pool(name) for name in fleet.address_by_service}
    entries.update((pool.name, pool) for pool in pools)
    return RoutingTable(version, routes, entries, {})


def start_balancer(
    fleet: Fleet, name: str, started_at: float | None = None
) -> BalancerTables:
    """Start a balancer of the group with empty tables."""
    fleet.starts += 1
    now = fleet.queue.now if started_at is None else started_at
    tables = make_member_tables(
        name, now, fleet.starts, fleet.group_by_id.values()
    )
    add_balancer(fleet, tables)
    return tables


def add_balancer(fleet: Fleet, tables: BalancerTables) -> None:
    """Start a balancer and add it to the targets of the fabric."""
    name = tables.instance_id
    fleet.balancers_by_id[name] = tables
    fleet.network.down.discard(name)
    fleet.spray_targets.append(name)
    tables.hedging.policy = fleet.hedging
    install_table(tables, routing_table(fleet, 1))

    def tick() -> None:
        if fleet.balancers_by_id.get(name) is tables:
            run_on_balancer(fleet, name, run_tick)

    def run_tick() -> None:
        outbox: Outbox = []
        fleet.logic.tick(tables, fleet.queue.now, outbox)
        dispatch(fleet, name, outbox)

    schedule_every(fleet.queue, TICK.total_seconds(), tick)


def add_server(fleet: Fleet, server: FakeServer) -> None:
    """Start a server that announces itself to a random balancer each time."""
    fleet.servers_by_id[server.backend_id] = server

    def announce() -> None:
        if server.alive and fleet.spray_targets:
            receiver = fleet.queue.rng.choice(fleet.spray_targets)
            announced = server.announce()

            def arrive() -> None:
                tables = fleet.balancers_by_id[receiver]
                outbox: Outbox = []
                handle_announcement(tables, fleet.queue.now, announced, outbox)
                dispatch(fleet, receiver, outbox)

            send(
                fleet.network,
                server.backend_id,
                receiver,
                lambda: run_on_balancer(fleet, receiver, arrive),
            )

    announce()
    schedule_every(fleet.queue, server.announce_seconds, announce)


def kill(fleet: Fleet, name: str) -> None:
    """Kill a balancer and remove it from the targets of the fabric."""
    fleet.balancers_by_id.pop(name)
    fleet.network.down.add(name)
    if name in fleet.spray_targets:
        fleet.spray_targets.remove(name)


def stop_gracefully(
    fleet: Fleet, name: str, then: Action | None = None
) -> None:
    """Stop a balancer once it has left its view or the stop bound is reached.

    It leaves the targets of the fabric first and stops half a second later.
    """
    tables = fleet.balancers_by_id[name]
    tables.is_stopping = True
    deadline = fleet.queue.now + STOP_BOUND.total_seconds()

    def end_when_left() -> None:
        if fleet.balancers_by_id.get(name) is not tables:
            return
        if has_left(tables) or fleet.queue.now >= deadline:
            if name in fleet.spray_targets:
                fleet.spray_targets.remove(name)
            schedule(fleet.queue, LINGER_SECONDS, end)
        else:
            schedule(fleet.queue, TICK.total_seconds(), end_when_left)

    def end() -> None:
        if fleet.balancers_by_id.get(name) is tables:
            fleet.balancers_by_id.pop(name)
            fleet.network.down.add(name)
            if then:
                then()

    end_when_left()


def restart(fleet: Fleet, name: str) -> None:
    """Stop a balancer gracefully and start it again with empty tables."""
    if name not in fleet.balancers_by_id:
        return
    stop_gracefully(fleet, name, lambda: start_balancer(fleet, name))


def freeze(fleet: Fleet, name: str) -> None:
    """Suspend a balancer; deliveries wait in its socket buffers."""
    fleet.backlog_by_frozen_balancer[name] = []


def thaw(fleet: Fleet, name: str) -> None:
    """Resume a frozen balancer and process its backlog."""
    for action in fleet.backlog_by_frozen_balancer.pop(name):
        action()


def run_on_balancer(fleet: Fleet, name: str, action: Action) -> None:
    """Run an action on a running balancer, or queue it while it is frozen."""
    backlog = fleet.backlog_by_frozen_balancer.get(name)
    if backlog is not None:
        backlog.append(action)
    elif name in fleet.balancers_by_id:
        action()


def spray(
    fleet: Fleet, sender: str, packet: CallerPacket | BackendPacket
) -> None:
    """Send a packet to a random balancer, as the fabric does."""
    if not fleet.spray_targets:
        return
    name = fleet.queue.rng.choice(fleet.spray_targets)

    def deliver() -> None:
        tables = fleet.balancers_by_id[name]
        outbox: Outbox = []
        now = fleet.queue.now
        if isinstance(packet, CallerPacket):
            fleet.packets += 1
            fleet.logic.handle_caller_packet(tables, now, packet, outbox)
        else:
            fleet.logic.handle_backend_packet(tables, now, packet, outbox)
        dispatch(fleet, name, outbox)

    send(
        fleet.network,
        sender,
        name,
        lambda: run_on_balancer(fleet, name, deliver),
    )


def dispatch(fleet: Fleet, sender: str, outbox: Outbox) -> None:
    """Send the messages and packets of an outbox to their receivers."""
    for outgoing in outbox:
        if isinstance(outgoing, ToPeer):
            send_to_peer(fleet, sender, outgoing)
        elif isinstance(outgoing, ToBackend):
            send_to_server(fleet, sender, outgoing)
        else:
            packet = outgoing.packet
            caller_flow = fleet.flows_by_key.get(packet.flow)
            if caller_flow is not None:
                record_packet(caller_flow, packet, fleet.queue.now)


def send_to_peer(fleet: Fleet, sender: str, outgoing: ToPeer) -> None:
    """Send a message between balancers and count its bytes."""
    message = outgoing.message
    kind = type(message).__name__
    fleet.bytes_by_message[sender, kind] += len(encode_message(message))
    fleet.relayed += isinstance(message, Relay)

    def deliver() -> None:
        tables = fleet.balancers_by_id[outgoing.instance_id]
        outbox: Outbox = []
        now = fleet.queue.now
        fleet.logic.handle_peer_message(tables, now, message, outbox)
        dispatch(fleet, outgoing.instance_id, outbox)

    receiver = outgoing.instance_id
    send(
        fleet.network,
        sender,
        receiver,
        lambda: run_on_balancer(fleet, receiver, deliver),
    )


def send_to_server(fleet: Fleet, sender: str, outgoing: ToBackend) -> None:
    """Send a packet to the server at an address."""
    server = next(
        server
        for server in fleet.servers_by_id.values()
        if server.address == outgoing.address
    )

    def deliver() -> None:
        if server.alive:
            serve_packet(
                fleet.queue,
                server,
                outgoing.packet,
                lambda packet: spray(fleet, server.backend_id, packet),
            )

    send(fleet.network, sender, server.backend_id, deliver, repeats=False)


def flow_key(number: int, service_address: str) -> bytes:
    """Make the flow key of a caller's address and a service address."""
    host = f'10.{number >> 24 & 255}.{number >> 16 & 255}.9'
    caller = pack_address(f'{host}:{number & 0xFFFF}')
    return caller + pack_address(service_address)
