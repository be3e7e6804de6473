"""Servers, a caller and an operator of a soak, which detect violations."""

import json
import socket
import struct
import time
import zlib
from dataclasses import dataclass, field

import trio

from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    send_request,
)
from mustardhold.tables.outcomes import Ok
from tools.soak.world import (
    DATA_PORT,
    READY_PORT,
    REPORT_INTERVAL_SECONDS,
    SERVER_PORT,
    World,
    balancer_names,
    control_names,
    count_event,
    data_centre_names,
    host_address,
    record_violation,
)

HEADER = struct.Struct('!IIIIBBHHHII')
FIN, RST, SYN, ACK = 16, 8, 32, 64
SERVICE_IP, SERVICE_PORT = 0xC6120001, 443
OPENING_RETRY_SECONDS = (0, 0.2, 0.6)
PACKET_INTERVAL_SECONDS = 0.15
FLOW_SECONDS = (2.0, 8.0)
FLOW_START_INTERVAL_SECONDS = 0.05
DRAIN_SECONDS = 3.0
# Time limits are checked only for programs without a fault for this long.
UNDISTURBED_SECONDS = 4.0
SERVERS = 6
EVACUATION_SECONDS = 5.0
EVACUATION_HOLD_SECONDS = (7.0, 12.0)
EVACUATION_PAUSE_SECONDS = (0.5, 4.0)


@dataclass(slots=True)
class Server:
    """A backend server.

    Attributes
    ----------
    drain_acknowledged_at
        When a control instance acknowledged that the server is draining.
    half_open_ports, open_ports
        Caller ports of flows during and after their handshake. Both sets are
        cleared on a restart, so a new incarnation resets older flows.
    """

    number: int
    address: str
    sock: trio.socket.SocketType
    incarnation: int
    sequence: int = 0
    state: str = 'ready'
    is_running: bool = True
    drain_acknowledged_at: float | None = None
    half_open_ports: set[int] = field(default_factory=set)
    open_ports: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Flow:
    """A flow of the caller, open or being opened.

    Attributes
    ----------
    server
        Number of the server that accepted the flow, or 0.
    """

    port: int
    token: int = 0
    server: int = 0
    is_reset: bool = False
    replies: int = 0


@dataclass(slots=True)
class Traffic:
    """The servers, the caller and the operator, outside of the programs.

    Attributes
    ----------
    version
        Last version that the operator sent.
    acknowledged_version
        Highest version that a control instance acknowledged.
    evacuated_at
        When the evacuation of a data centre was acknowledged, by its name,
        until the order to end it is sent.
    """

    world: World
    caller: trio.socket.SocketType
    servers_by_number: dict[int, Server] = field(default_factory=dict)
    flows_by_port: dict[int, Flow] = field(default_factory=dict)
    ready_balancers: set[str] = field(default_factory=set)
    next_port: int = 1
    next_server: int = 1
    version: int = 0
    acknowledged_version: int = 0
    evacuated_at: dict[str, float] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)


async def make_traffic(world: World) -> Traffic:
    """Bind the caller's socket, and create the servers."""
    caller = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    await caller.bind((f'{world.address_prefix}.4.1', DATA_PORT))
    traffic = Traffic(world, caller)
    for _ in range(SERVERS):
        await add_server(traffic)
    return traffic


async def add_server(traffic: Traffic) -> Server:
    """Create a server with a new id, and bind its socket."""
    number = traffic.next_server
    traffic.next_server += 1
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host = f'{traffic.world.address_prefix}.3.{number}'
    await sock.bind((host, SERVER_PORT))
    incarnation = time.time_ns() // 1_000_000
    server = Server(number, f'{host}:{SERVER_PORT}', sock, incarnation)
    traffic.servers_by_number[number] = server
    return server


def checksum(raw: bytes) -> int:
    """Return the checksum of the part of a packet that must not change."""
    return zlib.crc32(raw[8:]) | 1


def pack(
    flags: int, flow: Flow, acknowledgement: int, payload: bytes = b''
) -> bytes:
    """Encode a packet of the caller."""
    ip = SERVICE_IP
    rest = (flags, 0, len(payload), SERVICE_PORT, flow.port, ip, ip + 1)
    raw = HEADER.pack(0, flow.token, 7, acknowledgement, *rest) + payload
    return checksum(raw).to_bytes(4, 'big') + raw[4:]


async def spray(traffic: Traffic, raw: bytes) -> None:
    """Send a packet through a random ready balancer."""
    names = sorted(traffic.ready_balancers)
    if names:
        name = traffic.world.rng.choice(names)
        host = host_address(traffic.world, name)
        await traffic.caller.sendto(
            set_caller_address(traffic, raw), (host, DATA_PORT)
        )


def set_caller_address(traffic: Traffic, raw: bytes) -> bytes:
    """Insert the caller's real address, and update the checksum."""
    caller_ip = socket.inet_aton(f'{traffic.world.address_prefix}.4.1')
    raw = raw[:28] + caller_ip + raw[32:]
    return checksum(raw).to_bytes(4, 'big') + raw[4:]


async def run_server(traffic: Traffic, server: Server) -> None:
    """Receive, check and answer packets of a server."""
    while True:
        raw, sender = await server.sock.recvfrom(2048)
        if server.is_running:
            await handle_packet(traffic, server, raw, sender[0])


async def handle_packet(
    traffic: Traffic, server: Server, raw: bytes, sender: str
) -> None:
    """Check one packet at a server, and answer it or reset its flow."""
    world, packet = traffic.world, raw[8:]
    if int.from_bytes(raw[:8], 'big') != server.number:
        return
    header = HEADER.unpack_from(packet)
    if header[0] != checksum(packet):
        record_violation(world, f'server {server.number} got a changed packet')
        return
    flags, port = header[4], header[8]
    if flags & SYN:
        check_no_flow_after_drain(world, server, sender)
        check_no_flow_in_evacuation(traffic, server, sender)
        server.half_open_ports.add(port)
        await send_reply(traffic, server, packet, SYN | ACK)
    elif flags & ACK and port in server.half_open_ports | server.open_ports:
        server.open_ports.add(port)
        await send_reply(traffic, server, packet, ACK)
    else:
        await send_reply(traffic, server, packet, RST)


def check_no_flow_after_drain(
    world: World, server: Server, sender: str
) -> None:
    """Check that a draining server gets no new flow after the time limit.

    The check is skipped if the sending balancer or a control instance was
    disturbed within the last ``UNDISTURBED_SECONDS``.
    """
    if server.drain_acknowledged_at is None:
        return
    seconds_late = (
        trio.current_time() - server.drain_acknowledged_at - DRAIN_SECONDS
    )
    names = [
        name for name in balancer_names() if host_address(world, name) == sender
    ]
    relevant = [*names, *control_names()]
    last_disturbed_at = max(
        world.disturbed_at.get(name, 0) for name in relevant
    )
    is_undisturbed = (
        trio.current_time() - last_disturbed_at > UNDISTURBED_SECONDS
    )
    if seconds_late > 0 and is_undisturbed:
        record_violation(
            world,
            f'server {server.number} got a flow {seconds_late:.2f} s late',
        )


def data_centre_of(server: Server) -> str:
    """Return the name of a server's data centre."""
    names = data_centre_names()
    return names[server.number % len(names)]


def check_no_flow_in_evacuation(
    traffic: Traffic, server: Server, sender: str
) -> None:
    """Check that no flow opens in a data centre whose evacuation is in force.

    The check is skipped under the conditions of the check for draining servers.
    """
    world, data_centre = traffic.world, data_centre_of(server)
    now = trio.current_time()
    evacuated_at = traffic.evacuated_at.get(data_centre, now)
    seconds_late = now - evacuated_at - EVACUATION_SECONDS
    names = [
        name for name in balancer_names() if host_address(world, name) == sender
    ]
    last_disturbed_at = max(
        world.disturbed_at.get(name, 0) for name in (*names, *control_names())
    )
    is_undisturbed = now - last_disturbed_at > UNDISTURBED_SECONDS
    if seconds_late > 0 and is_undisturbed:
        record_violation(
            world,
            f'server {server.number} in evacuated {data_centre} got a flow '
            f'from {sender} {seconds_late:.2f} s late',
        )


async def send_reply(
    traffic: Traffic, server: Server, packet: bytes, flags: int
) -> None:
    """Reply to the caller with the token of the received packet."""
    header = HEADER.unpack_from(packet)
    addresses = (header[8], header[7], header[10], header[9])
    raw = HEADER.pack(*header[:4], flags, 0, 8, *addresses)
    raw += server.number.to_bytes(8, 'big')
    host = f'{traffic.world.address_prefix}.4.1'
    await server.sock.sendto(raw, (host, DATA_PORT))


async def run_caller(traffic: Traffic) -> None:
    """Receive and check the packets that reach the caller."""
    while True:
        raw, _ = await traffic.caller.recvfrom(2048)
        header = HEADER.unpack_from(raw)
        flow = traffic.flows_by_port.get(header[7])
        if flow is not None:
            handle_reply(traffic, flow, header, raw[32:])


def handle_reply(
    traffic: Traffic, flow: Flow, header: tuple[int, ...], payload: bytes
) -> None:
    """Update a flow from one packet, and check which server sent it."""
    flags = header[4]
    if header[0] == 0 and flags & RST:
        check_reset(traffic, flow)
        return
    number = int.from_bytes(payload, 'big')
    if flags & RST:
        flow.is_reset = flow.is_reset or number == flow.server
    elif not flow.server and flags == SYN | ACK:
        flow.server = number
        flow.token = header[1]
    elif number != flow.server and flags == ACK:
        record_violation(
            traffic.world, f'flow {flow.port} was answered by two servers'
        )
    elif flags == ACK:
        flow.replies += 1


def check_reset(traffic: Traffic, flow: Flow) -> None:
    """Mark a flow as reset; it is a violation if its server holds it open."""
    flow.is_reset = True
    count_event(traffic.world, 'resets')
    server = traffic.servers_by_number.get(flow.server)
    if (
        server is not None
        and server.is_running
        and flow.port in server.open_ports
    ):
        record_violation(
            traffic.world,
            f'flow {flow.port} with token {flow.token} at server '
            f'{server.number}, started {server.incarnation}, was reset',
        )


async def run_flow(traffic: Traffic, flow: Flow) -> None:
    """Open a flow, send packets for its lifetime, then forget it."""
    started_at = trio.current_time()
    for attempt, seconds in enumerate(OPENING_RETRY_SECONDS):
        await trio.sleep_until(started_at + seconds)
        if flow.server or flow.is_reset:
            break
        await spray(traffic, pack(SYN, flow, attempt))
    await trio.sleep(PACKET_INTERVAL_SECONDS)
    count_event(traffic.world, 'opened' if flow.server else 'not opened')
    end = trio.current_time() + traffic.world.rng.uniform(*FLOW_SECONDS)
    if flow.server and not flow.is_reset:
        await spray(traffic, pack(ACK, flow, 1))
    while flow.server and not flow.is_reset and trio.current_time() < end:
        await trio.sleep(PACKET_INTERVAL_SECONDS)
        await spray(traffic, pack(ACK, flow, 1))
        count_event(traffic.world, 'packets')
    traffic.flows_by_port.pop(flow.port, None)


async def start_flows(traffic: Traffic, nursery: trio.Nursery) -> None:
    """Start a flow every ``FLOW_START_INTERVAL_SECONDS``."""
    while True:
        await trio.sleep(FLOW_START_INTERVAL_SECONDS)
        flow = Flow(traffic.next_port)
        traffic.next_port = traffic.next_port % 60_000 + 1
        traffic.flows_by_port[flow.port] = flow
        nursery.start_soon(run_flow, traffic, flow)


async def send_to_control(
    traffic: Traffic, name: str, request: tuple[str, str, bytes]
) -> HttpResponse | None:
    """Send a request to a control instance through its proxy.

    Returns
    -------
    HttpResponse or None
        None if the control instance does not respond within 1 s.
    """
    method, target, body = request
    address = traffic.world.proxies_by_name[name].address
    result = await send_request(
        traffic.client, HttpRequest(method, address, target, body), 1.0
    )
    return result.value if isinstance(result, Ok) else None


async def send_reports(traffic: Traffic, server: Server) -> None:
    """Send periodic reports of a server until it stops."""
    while server.is_running:
        server.sequence += 1
        is_draining = server.state == 'draining'
        body = {
            'service': 'feed',
            'address': server.address,
            'zone': data_centre_of(server),
            'slots': 2,
            'state': server.state,
            'sequence': server.sequence,
            'born': server.incarnation,
        }
        path = f'/api/instances/i-{server.number:x}/heartbeat'
        names = control_names()
        traffic.world.rng.shuffle(names)
        for name in names:
            raw = json.dumps(body).encode()
            response = await send_to_control(traffic, name, ('POST', path, raw))
            if response is not None and response.is_success:
                if is_draining and server.drain_acknowledged_at is None:
                    server.drain_acknowledged_at = trio.current_time()
                break
        await trio.sleep(REPORT_INTERVAL_SECONDS)


async def poll_readiness(traffic: Traffic) -> None:
    """Poll the readiness of all balancers, as a fabric does.

    A balancer counts as not ready after two failures in a row.
    """
    failures = dict.fromkeys(balancer_names(), 0)
    while True:
        for name in balancer_names():
            host = host_address(traffic.world, name)
            request = HttpRequest(
                'GET', f'{host}:{READY_PORT}', '/api/readiness'
            )
            response = await send_request(traffic.client, request, 0.3)
            is_ready = isinstance(response, Ok) and response.value.is_success
            failures[name] = 0 if is_ready else failures[name] + 1
            if is_ready:
                traffic.ready_balancers.add(name)
            elif failures[name] > 1:
                traffic.ready_balancers.discard(name)
        await trio.sleep(0.3)


async def send_configuration(traffic: Traffic) -> bool:
    """Send the next configuration to a random control instance.

    Returns
    -------
    bool
        Whether it was acknowledged.
    """
    traffic.version += traffic.world.rng.randrange(1, 4)
    version = traffic.version
    route = {
        'name': 'r-1',
        'host': '198.18.0.1',
        'path_prefix': f'/{SERVICE_PORT}/',
        'kind': 'safe',
        'timeout_ms': 1000 + version,
        'service': 'feed',
    }
    body = {
        'version': version,
        'routes': [route],
        'services': [{'name': 'feed', 'health_path': '/', 'max_flows': 9}],
    }
    name = traffic.world.rng.choice(control_names())
    raw = json.dumps(body).encode()
    response = await send_to_control(
        traffic, name, ('POST', '/api/configuration/replace', raw)
    )
    if response is not None and response.is_success:
        traffic.acknowledged_version = max(
            traffic.acknowledged_version, version
        )
        count_event(traffic.world, 'acknowledged')
        return True
    return False


async def check_configuration(traffic: Traffic) -> bool:
    """Read the configuration and check that it is no older than acknowledged.

    Returns
    -------
    bool
        Whether a control instance responded.
    """
    expected = traffic.acknowledged_version
    name = traffic.world.rng.choice(control_names())
    response = await send_to_control(
        traffic, name, ('GET', '/api/configuration/get', b'')
    )
    if response is None or not response.is_success:
        return False
    version = json.loads(response.body)['version']
    count_event(traffic.world, 'reads')
    if version < expected:
        record_violation(
            traffic.world, f'{name} read {version} after {expected}'
        )
    return True


async def run_operator(traffic: Traffic) -> None:
    """Change and read the configuration alternately."""
    while True:
        await trio.sleep(traffic.world.rng.uniform(0.1, 0.5))
        await send_configuration(traffic)
        await check_configuration(traffic)


async def send_order(traffic: Traffic, data_centre: str, verb: str) -> bool:
    """Resend an order on an evacuation until it is acknowledged.

    Gives up, with a violation, if the control instances and the network were
    undisturbed for ``UNDISTURBED_SECONDS`` since the order was first sent.
    """
    world, sent_at = traffic.world, trio.current_time()
    request = ('POST', f'/api/evacuation/{data_centre}/{verb}', b'')
    names = control_names()
    while True:
        name = world.rng.choice(names)
        response = await send_to_control(traffic, name, request)
        if response is not None and response.is_success:
            count_event(world, f'evacuation {verb}')
            return True
        is_disturbed = bool(world.expected_down & set(names)) or any(
            proxy.mode != 'pass' for proxy in world.proxies_by_name.values()
        )
        disturbed_at = [
            world.disturbed_at.get(one, 0) for one in (*names, 'network')
        ]
        undisturbed_since = max(sent_at, *disturbed_at)
        seconds = trio.current_time() - undisturbed_since
        if not is_disturbed and seconds > UNDISTURBED_SECONDS:
            record_violation(
                world, f'{verb} of {data_centre} was not acknowledged by {name}'
            )
            return False
        await trio.sleep(0.2)


async def run_evacuations(traffic: Traffic, seconds: float) -> None:
    """Evacuate one data centre after another, and restore each.

    They take turns because a delayed duplicate of an earlier order for the same
    data centre could revoke a new evacuation.
    """
    rng, end = traffic.world.rng, trio.current_time() + seconds
    names = data_centre_names()
    rng.shuffle(names)
    while trio.current_time() < end:
        await trio.sleep(rng.uniform(*EVACUATION_PAUSE_SECONDS))
        data_centre = names.pop(0)
        names.append(data_centre)
        if await send_order(traffic, data_centre, 'start'):
            traffic.evacuated_at[data_centre] = trio.current_time()
            await trio.sleep(rng.uniform(*EVACUATION_HOLD_SECONDS))
            del traffic.evacuated_at[data_centre]
        await send_order(traffic, data_centre, 'end')
