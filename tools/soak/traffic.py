"""Servers, callers and an operator of a soak; they see what is judged."""

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
    REPORT_SECONDS,
    SERVER_PORT,
    World,
    balancer_names,
    control_names,
    count,
    host_of,
    note,
)

HEAD = struct.Struct('!IIIIBBHHHII')
FIN, RST, SYN, ACK = 16, 8, 32, 64
SERVICE_IP, SERVICE_PORT = 0xC6120001, 443
COPY_SECONDS = (0, 0.2, 0.6)
PACKET_SECONDS = 0.15
FLOW_SECONDS = (2.0, 8.0)
OPEN_SECONDS = 0.05
DRAIN_SECONDS = 3.0
# Rules with a bound hold for programs that were left alone for this long.
CALM_SECONDS = 4.0
SERVERS = 6


@dataclass(slots=True)
class Server:
    """A backend server.

    Attributes
    ----------
    drained_at
        When it was acknowledged that the server leaves.
    half_open, flows
        Ports of flows that await the end of their handshake, and that are
        open; a new incarnation knows of neither.
    """

    number: int
    address: str
    sock: trio.socket.SocketType
    born: int
    sequence: int = 0
    state: str = 'ready'
    is_alive: bool = True
    drained_at: float | None = None
    half_open: set[int] = field(default_factory=set)
    flows: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Flow:
    """An open or opening flow of the caller."""

    port: int
    token: int = 0
    server: int = 0
    is_reset: bool = False
    answers: int = 0


@dataclass(slots=True)
class Traffic:
    """All that talks to the programs from outside."""

    world: World
    caller: trio.socket.SocketType
    servers_by_number: dict[int, Server] = field(default_factory=dict)
    flows_by_port: dict[int, Flow] = field(default_factory=dict)
    ready: set[str] = field(default_factory=set)
    next_port: int = 1
    next_server: int = 1
    version: int = 0
    acknowledged: int = 0
    client: HttpClient = field(default_factory=HttpClient)


async def make_traffic(world: World) -> Traffic:
    """Bind the caller, and make the servers."""
    caller = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    await caller.bind((f'{world.block}.4.1', DATA_PORT))
    traffic = Traffic(world, caller)
    for _ in range(SERVERS):
        await add_server(traffic)
    return traffic


async def add_server(traffic: Traffic) -> Server:
    """Make a server with a new id."""
    number = traffic.next_server
    traffic.next_server += 1
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host = f'{traffic.world.block}.3.{number}'
    await sock.bind((host, SERVER_PORT))
    born = time.time_ns() // 1_000_000
    server = Server(number, f'{host}:{SERVER_PORT}', sock, born)
    traffic.servers_by_number[number] = server
    return server


def checksum(raw: bytes) -> int:
    """Sum a packet over all that nobody may change."""
    return zlib.crc32(raw[8:]) | 1


def pack(flags: int, flow: Flow, acked: int, payload: bytes = b'') -> bytes:
    """Make a caller's packet."""
    ip = SERVICE_IP
    rest = (flags, 0, len(payload), SERVICE_PORT, flow.port, ip, ip + 1)
    raw = HEAD.pack(0, flow.token, 7, acked, *rest) + payload
    return checksum(raw).to_bytes(4, 'big') + raw[4:]


async def spray(traffic: Traffic, raw: bytes) -> None:
    """Send a packet through any balancer that is ready."""
    names = sorted(traffic.ready)
    if names:
        name = traffic.world.rng.choice(names)
        host = host_of(traffic.world, name)
        await traffic.caller.sendto(rewrite(traffic, raw), (host, DATA_PORT))


def rewrite(traffic: Traffic, raw: bytes) -> bytes:
    """Put the caller's real address into a packet, and sum it again."""
    own = socket.inet_aton(f'{traffic.world.block}.4.1')
    raw = raw[:28] + own + raw[32:]
    return checksum(raw).to_bytes(4, 'big') + raw[4:]


async def run_server(traffic: Traffic, server: Server) -> None:
    """Answer packets, and check each one."""
    while True:
        raw, sender = await server.sock.recvfrom(2048)
        if server.is_alive:
            await take_packet(traffic, server, raw, sender[0])


async def take_packet(
    traffic: Traffic, server: Server, raw: bytes, sender: str
) -> None:
    """Handle one packet at a server."""
    world, packet = traffic.world, raw[8:]
    if int.from_bytes(raw[:8], 'big') != server.number:
        return
    head = HEAD.unpack_from(packet)
    if head[0] != checksum(packet):
        note(world, f'server {server.number} got a changed packet')
        return
    flags, port = head[4], head[8]
    if flags & SYN:
        check_drained(world, server, sender)
        server.half_open.add(port)
        await answer(traffic, server, packet, SYN | ACK)
    elif flags & ACK and port in server.half_open | server.flows:
        server.flows.add(port)
        await answer(traffic, server, packet, ACK)
    else:
        await answer(traffic, server, packet, RST)


def check_drained(world: World, server: Server, sender: str) -> None:
    """Check that a leaving server gets no new flow from a calm balancer."""
    if server.drained_at is None:
        return
    late = trio.current_time() - server.drained_at - DRAIN_SECONDS
    names = [
        name for name in balancer_names() if host_of(world, name) == sender
    ]
    disturbed = [*names, *control_names()]
    calm_since = max(world.faulted_at.get(name, 0) for name in disturbed)
    is_calm = trio.current_time() - calm_since > CALM_SECONDS
    if late > 0 and is_calm:
        note(world, f'server {server.number} got a flow {late:.2f} s late')


async def answer(
    traffic: Traffic, server: Server, packet: bytes, flags: int
) -> None:
    """Send a packet to the caller, with the token as it came."""
    head = HEAD.unpack_from(packet)
    ends = (head[8], head[7], head[10], head[9])
    raw = HEAD.pack(*head[:4], flags, 0, 8, *ends)
    raw += server.number.to_bytes(8, 'big')
    host = f'{traffic.world.block}.4.1'
    await server.sock.sendto(raw, (host, DATA_PORT))


async def run_caller(traffic: Traffic) -> None:
    """Take answers, and check each one."""
    while True:
        raw, _ = await traffic.caller.recvfrom(2048)
        head = HEAD.unpack_from(raw)
        flow = traffic.flows_by_port.get(head[7])
        if flow is not None:
            take_answer(traffic, flow, head, raw[32:])


def take_answer(
    traffic: Traffic, flow: Flow, head: tuple[int, ...], payload: bytes
) -> None:
    """Handle one packet at the caller."""
    flags = head[4]
    if head[0] == 0 and flags & RST:
        take_reset(traffic, flow)
        return
    number = int.from_bytes(payload, 'big')
    if flags & RST:
        flow.is_reset = flow.is_reset or number == flow.server
    elif not flow.server and flags == SYN | ACK:
        flow.server = number
        flow.token = head[1]
    elif number != flow.server and flags == ACK:
        note(traffic.world, f'flow {flow.port} was answered by two servers')
    elif flags == ACK:
        flow.answers += 1


def take_reset(traffic: Traffic, flow: Flow) -> None:
    """Check that a reset by a balancer ends no flow of a living server."""
    flow.is_reset = True
    count(traffic.world, 'resets')
    server = traffic.servers_by_number.get(flow.server)
    if server is not None and server.is_alive and flow.port in server.flows:
        note(
            traffic.world,
            f'flow {flow.port} with token {flow.token} at server '
            f'{server.number}, started {server.born}, was reset',
        )


async def run_flow(traffic: Traffic, flow: Flow) -> None:
    """Open a flow, use it, and close it."""
    begin = trio.current_time()
    for attempt, seconds in enumerate(COPY_SECONDS):
        await trio.sleep_until(begin + seconds)
        if flow.server or flow.is_reset:
            break
        await spray(traffic, pack(SYN, flow, attempt))
    await trio.sleep(PACKET_SECONDS)
    count(traffic.world, 'opened' if flow.server else 'not opened')
    end = trio.current_time() + traffic.world.rng.uniform(*FLOW_SECONDS)
    if flow.server and not flow.is_reset:
        await spray(traffic, pack(ACK, flow, 1))
    while flow.server and not flow.is_reset and trio.current_time() < end:
        await trio.sleep(PACKET_SECONDS)
        await spray(traffic, pack(ACK, flow, 1))
        count(traffic.world, 'packets')
    traffic.flows_by_port.pop(flow.port, None)


async def open_flows(traffic: Traffic, nursery: trio.Nursery) -> None:
    """Open a flow every few milliseconds."""
    while True:
        await trio.sleep(OPEN_SECONDS)
        flow = Flow(traffic.next_port)
        traffic.next_port = traffic.next_port % 60_000 + 1
        traffic.flows_by_port[flow.port] = flow
        nursery.start_soon(run_flow, traffic, flow)


async def call(
    traffic: Traffic, name: str, request: tuple[str, str, bytes]
) -> HttpResponse | None:
    """Call a control instance through its proxy; it may not answer."""
    method, target, body = request
    address = traffic.world.proxies_by_name[name].address
    asked = await send_request(
        traffic.client, HttpRequest(method, address, target, body), 1.0
    )
    return asked.value if isinstance(asked, Ok) else None


async def report(traffic: Traffic, server: Server) -> None:
    """Report a server again and again, until it has ended."""
    while server.is_alive:
        server.sequence += 1
        is_draining = server.state == 'draining'
        body = {
            'service': 'feed',
            'address': server.address,
            'zone': f'dc-{server.number % 3}',
            'slots': 2,
            'state': server.state,
            'sequence': server.sequence,
            'born': server.born,
        }
        path = f'/api/instances/i-{server.number:x}/heartbeat'
        names = control_names()
        traffic.world.rng.shuffle(names)
        for name in names:
            raw = json.dumps(body).encode()
            got = await call(traffic, name, ('POST', path, raw))
            if got is not None and got.is_success:
                if is_draining and server.drained_at is None:
                    server.drained_at = trio.current_time()
                break
        await trio.sleep(REPORT_SECONDS)


async def watch_ready(traffic: Traffic) -> None:
    """Learn which balancers are ready, as a fabric does."""
    misses = dict.fromkeys(balancer_names(), 0)
    while True:
        for name in balancer_names():
            host = host_of(traffic.world, name)
            request = HttpRequest(
                'GET', f'{host}:{READY_PORT}', '/api/readiness'
            )
            got = await send_request(traffic.client, request, 0.3)
            is_ready = isinstance(got, Ok) and got.value.is_success
            misses[name] = 0 if is_ready else misses[name] + 1
            if is_ready:
                traffic.ready.add(name)
            elif misses[name] > 1:
                traffic.ready.discard(name)
        await trio.sleep(0.3)


async def change(traffic: Traffic) -> bool:
    """Send the next configuration, to some control instance."""
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
    got = await call(traffic, name, ('POST', '/api/configuration/replace', raw))
    if got is not None and got.is_success:
        traffic.acknowledged = max(traffic.acknowledged, version)
        count(traffic.world, 'acknowledged')
        return True
    return False


async def read_back(traffic: Traffic) -> bool:
    """Read the configuration; an answer must be the newest one."""
    expected = traffic.acknowledged
    name = traffic.world.rng.choice(control_names())
    got = await call(traffic, name, ('GET', '/api/configuration/get', b''))
    if got is None or not got.is_success:
        return False
    version = json.loads(got.body)['version']
    count(traffic.world, 'reads')
    if version < expected:
        note(traffic.world, f'{name} read {version} after {expected}')
    return True


async def run_operator(traffic: Traffic) -> None:
    """Change and read the configuration in turns."""
    while True:
        await trio.sleep(traffic.world.rng.uniform(0.1, 0.5))
        await change(traffic)
        await read_back(traffic)
