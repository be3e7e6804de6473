"""Programs, clients, servers and the platform of a case, on loopback.

Only the standard library is used. Each program has an address of its own in a
block of 127.0.0.0/8, and the same ports, as the machines of a small deployment
do. The programs are started with the commands of ``deploy/system.toml``.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
DATA_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT = 7201, 7301, 7001, 8001
INTERNAL_PORTS = (7101, 7116)
METRICS_PORT = 9464
HEADER = struct.Struct('!IIIIBBHHHII')
FIN, RST, SYN, ACK = 16, 8, 32, 64
BOUNCED = 128
HEARTBEAT_SECONDS = 1.2
DRAIN_SECONDS = 3.0
CALL_SECONDS = 1.0
OPENING_DELAYS = (0.0, 0.2, 0.6)
OPENING_TIMEOUT = 1.4
FIRST_RETRANSMISSION, LAST_RETRANSMISSION = 0.2, 1.6
SERVICE_HOST, SERVICE_IP = '198.18.0.1', 0xC6120001
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_period_s': 6,
    'loss_slack_ms': 200,
    'config_propagation_ms': 3000,
    'downgrade_slack_ms': 250,
    'max_stretch_ms': 12000,
    'recovery_s': 12,
    'flow_reorder_ms': 2000,
    'max_flow_s': 60,
}


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


@dataclass
class World:
    """State of one run: addresses, processes, the record and the findings."""

    record: TextIO
    has_trouble: bool
    folder: Path
    prefix: str
    link_mbps: float = 1500.0
    machines: int = 1
    started_at: float = field(default_factory=time.monotonic)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    seeds: list[str] = field(default_factory=list)
    expected_exits: set[str] = field(default_factory=set)
    own_ends: list[tuple[float, str, int]] = field(default_factory=list)
    restarts: set[str] = field(default_factory=set)
    ready: set[str] = field(default_factory=set)
    breaks: list[str] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    held: list[socket.socket] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Write one line into the record, with the time since the start."""
        line = f'{time.monotonic() - self.started_at:8.3f} {text}'
        self.lines.append(line)
        self.record.write(line + '\n')

    def break_rule(self, text: str) -> None:
        """Record that the rule was broken."""
        self.breaks.append(text)
        if len(self.breaks) <= 40:
            self.note(f'BROKEN {text}')

    def spawn(self, coroutine: Any) -> asyncio.Task:
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task


def free_block(rng: random.Random) -> str:
    """Return the first two numbers of a loopback block that is not in use."""
    for _ in range(50):
        prefix = f'127.{rng.randrange(20, 250)}'
        try:
            for port in (DATA_PORT, CONTROL_PORT, INTERNAL_PORTS[0]):
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                    sock.bind((f'{prefix}.1.1', port))
        except OSError:
            continue
        return prefix
    raise CannotRunError('no free loopback block')


def make_world(folder: Path, **options: Any) -> World:
    """Create the state of a run whose record goes into a folder."""
    if not (ROOT / 'target' / 'deps' / 'mustardhold').is_dir():
        raise CannotRunError('target/deps is missing: run the build first')
    return World(
        (folder / 'record.txt').open('w', buffering=1, encoding='utf-8'),
        os.environ.get('TROUBLE', '1') != '0',
        Path(tempfile.mkdtemp(prefix='case-')),
        free_block(random.Random()),
        **options,
    )


def host_address(world: World, name: str) -> str:
    """Return the IP address of a program or stand-in; new names get one."""
    networks = {'control': 1, 'balancer': 2, 'server': 3, 'client': 4}
    if name not in world.addresses:
        kind, _, number = name.partition('-')
        network = networks[kind]
        world.addresses[name] = f'{world.prefix}.{network}.{int(number)}'
    return world.addresses[name]


def control_address(world: World, name: str) -> str:
    """Return the ``control_plane`` address of a control instance."""
    return f'{host_address(world, name)}:{CONTROL_PORT}'


def write_settings(world: World, name: str, *, is_bootstrap: bool) -> Path:
    """Write a settings file in the form of the users' page."""
    host = host_address(world, name)
    kind, _, number = name.partition('-')
    zones = [f'zone-{letter}' for letter in 'abcd']
    is_control = kind == 'control'
    control = f'{host}:{CONTROL_PORT}' if is_control else None
    addresses = {
        'datagram_address': f'{host}:{DATA_PORT}',
        'readiness_address': f'{host}:{READY_PORT}',
    }
    settings = {
        'node_name': name,
        'role': kind,
        'machine_class': 'core' if is_control else 'frontend',
        'serves': ['control_plane' if is_control else 'frontend'],
        'ip_address': host,
        'zone': zones[int(number) % len(zones)],
        'region': 'region',
        'zones': dict.fromkeys(zones, 'region'),
        'bind_addresses': {'control_plane': control}
        if is_control
        else addresses,
        'internal_port_range': list(INTERNAL_PORTS),
        'seeds': world.seeds,
        'bootstrap': is_bootstrap,
        'in_tolerance': is_control,
        'limits': {
            'cpu_share': 0.817,
            'cores': 2,
            'memory_mb': 430,
            'file_descriptors': 6150,
            'link_mbps': world.link_mbps,
            'disk_mb': 128 if is_control else 0,
        },
        'data_directory': str(world.folder / f'{name}.data')
        if is_control
        else None,
        'discovery': 'registry',
        'entry': 'announcement',
        'heartbeat_interval_ms': round(HEARTBEAT_SECONDS * 1000),
        'contracts': ['base', 'drain', 'config', 'cost', 'recover', 'flows'],
        'fault_tolerance': {
            'machines': world.machines,
            'zones': 1,
            'regions': 0,
        },
        'bounds': BOUNDS,
        'config_mode': 'highest',
        'flow_hash': 'mod',
        'forwarding_mode': 'echo',
    }
    path = world.folder / f'{name}.json'
    path.write_text(json.dumps(settings), encoding='utf-8')
    return path


def start(world: World, name: str, *, is_bootstrap: bool = False) -> None:
    """Start a program with the command of the deploy file."""
    path = write_settings(world, name, is_bootstrap=is_bootstrap)
    kind = name.partition('-')[0]
    (world.folder / f'{name}.data').mkdir(exist_ok=True)
    environment = {
        'PATH': os.environ.get('PATH', ''),
        'HOME': str(world.folder),
        'LANG': 'C.UTF-8',
        'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        'MUSTARDHOLD_NODE_FILE': str(path),
    }
    with (world.folder / f'{name}.log').open('ab') as log:
        world.processes[name] = subprocess.Popen(
            ['python3', '-S', '-m', 'mustardhold.platform', kind],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    world.expected_exits.discard(name)
    world.note(f'start {name} at {host_address(world, name)}')


def send_signal(world: World, name: str, number: signal.Signals) -> None:
    """Send a signal to a program that this case started."""
    world.note(f'{number.name} to {name}')
    if number in {signal.SIGKILL, signal.SIGTERM}:
        world.expected_exits.add(name)
    process = world.processes[name]
    if process.poll() is None:
        process.send_signal(number)


async def wait_exit(world: World, name: str, seconds: float = 10) -> int:
    """Wait until a program has ended, and return its exit code."""
    process = world.processes[name]
    until = time.monotonic() + seconds
    while process.poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.02)
    if process.poll() is None:
        process.kill()
    code = process.wait()
    world.note(f'{name} ended with {code}')
    return code


async def supervise(world: World, delay: float = 0.5) -> None:
    """Restart programs that end by themselves, as the platform does."""
    while True:
        for name, process in tuple(world.processes.items()):
            if process.poll() is None or name in world.expected_exits:
                continue
            now = time.monotonic() - world.started_at
            world.own_ends.append((now, name, process.returncode))
            world.note(f'{name} ended by itself with {process.returncode}')
            world.expected_exits.add(name)
            world.spawn(restart_later(world, name, delay))
        await asyncio.sleep(0.05)


async def restart_later(world: World, name: str, delay: float) -> None:
    """Start a program again after a delay, with its data."""
    await asyncio.sleep(delay)
    start(world, name)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    seconds: float = CALL_SECONDS,
) -> tuple[int, bytes] | None:
    """Send one HTTP request; return None without a whole response in time."""
    host, _, port = address.rpartition(':')
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
        'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + body)
            raw = await reader.read()
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    top, separator, rest = raw.partition(b'\r\n\r\n')
    if not separator:
        return None
    lines = top.decode('latin-1').split('\r\n')
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines[1:])
    }
    if len(rest) < int(headers.get('content-length', 0)):
        return None
    return int(lines[0].split()[1]), rest


async def poll_readiness(world: World, names: list[str]) -> None:
    """Take balancers into rotation and out of it, as the routers do."""
    misses = dict.fromkeys(names, 2)

    async def probe(name: str) -> None:
        address = f'{host_address(world, name)}:{READY_PORT}'
        answer = await call(address, 'GET', '/api/readiness', seconds=0.45)
        misses[name] = 0 if answer and answer[0] == 200 else misses[name] + 1
        if not misses[name]:
            world.ready.add(name)
        elif misses[name] >= 2:
            world.ready.discard(name)

    while True:
        await asyncio.gather(*map(probe, names))
        await asyncio.sleep(0.5)


# The operator


def make_configuration(
    version: int, services: tuple[str, ...] = ('werkstatt', 'katalog')
) -> dict[str, Any]:
    """Return a desired state: service N at port 443 + N."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{service}',
                'host': SERVICE_HOST,
                'path_prefix': f'/{443 + number}/',
                'kind': 'safe',
                'timeout_ms': 2000,
                'target_latency_ms': 200,
                'priority': 1,
                'service': service,
                'max_attempts': 2,
            }
            for number, service in enumerate(services)
        ],
        'services': [
            {
                'name': service,
                'health_path': '/health',
                'max_flows': 2000,
                'protocol': 'h1',
                'tls': False,
            }
            for service in services
        ],
        'limits': {'idle_timeout_ms': 15000},
    }


async def replace_configuration(
    world: World, names: list[str], version: int, seconds: float
) -> bool:
    """Send a desired state to one node after another until it is answered."""
    body = json.dumps(make_configuration(version)).encode()
    until = time.monotonic() + seconds
    pause = 0.1
    for name in itertools.cycle(names):
        address = control_address(world, name)
        path = '/api/configuration/replace'
        answer = await call(address, 'POST', path, body)
        status = answer[0] if answer else None
        world.note(f'operator: version {version} to {name} -> {status}')
        if status == 200:
            return True
        if time.monotonic() > until:
            return False
        await asyncio.sleep(pause)
        pause = min(pause * 2, 1.0)
    return False


async def read_configuration(
    world: World, names: list[str], seconds: float
) -> int | None:
    """Read the desired state until a node answers; return its version."""
    until = time.monotonic() + seconds
    for name in itertools.cycle(names):
        address = control_address(world, name)
        answer = await call(address, 'GET', '/api/configuration/get')
        status = answer[0] if answer else None
        if answer and status == 200:
            version = int(json.loads(answer[1])['version'])
            world.note(f'operator: read from {name} -> version {version}')
            return version
        world.note(f'operator: read from {name} -> {status}')
        if time.monotonic() > until:
            return None
        await asyncio.sleep(0.5)
    return None


# Servers


def checksum(raw: bytes) -> int:
    """Return the sum of a packet, over all but echo, pad and BOUNCED."""
    fixed = raw[8:16] + bytes([raw[16] & ~BOUNCED]) + raw[18:]
    return zlib.crc32(fixed) | 1


def pack(fields: tuple[int, ...], payload: bytes = b'') -> bytes:
    """Encode a packet and insert its sum.

    Parameters
    ----------
    fields
        echo, seq, ack, flags, dport, sport, dst, src.
    """
    echo, seq, ack, flags, dport, sport, dst, src = fields
    raw = HEADER.pack(
        0, echo, seq, ack, flags, 0, len(payload), dport, sport, dst, src
    )
    raw += payload
    return checksum(raw).to_bytes(4, 'big') + raw[4:]


@dataclass
class ServerFlow:
    """One flow at a server."""

    own_next: int
    peer_next: int
    echo: int
    is_open: bool = False
    last_payload: bytes = b''
    last_reply: bytes = b''


class Server(asyncio.DatagramProtocol):
    """A backend server: takes flows, answers requests, sends check-ins."""

    def __init__(
        self, world: World, number: int, service: str, work: float = 0.0
    ) -> None:
        """Create a server that is not running yet."""
        self.world, self.number, self.service = world, number, service
        self.work = work
        self.number_in_packets = 0x7F3A0000 + number
        self.server_id = f'i-{self.number_in_packets:08x}'
        self.host = host_address(world, f'server-{number}')
        self.address = f'{self.host}:{SERVER_PORT}'
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = 'ready'
        self.is_running = True
        self.flows: dict[tuple[int, ...], ServerFlow] = {}
        self.draining_acked_at: float | None = None
        self.acked_by = ''
        self.acks: list[float] = []
        self.openings: list[float] = []
        self.resets_sent = 0
        self.requests_run: list[str] = []
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, raw: bytes, _: Any) -> None:
        """Handle one packet that is for this server."""
        number = int.from_bytes(raw[:8], 'big')
        if not self.is_running or number not in {0, self.number_in_packets}:
            return
        packet = raw[8:]
        head = HEADER.unpack_from(packet)
        if head[0] != checksum(packet):
            self.world.break_rule(
                f'UNASKED server {self.number}: changed packet'
            )
            return
        _, echo, seq, ack, flags, _, _, dport, sport, dst, src = head
        key = (dport, sport, dst, src)
        flow = self.flows.get(key)
        if flags == SYN:
            self.handle_opening(key, flow, seq, echo)
        elif flow is not None:
            flow.echo = echo
            if flow.is_open or ack == flow.own_next or flags & RST:
                flow.is_open = True
                payload = packet[HEADER.size :]
                self.handle_packet(key, flow, (seq, flags), payload)
        elif not flags & RST:
            self.send_reset(key, ack)

    def handle_opening(
        self,
        key: tuple[int, ...],
        flow: ServerFlow | None,
        seq: int,
        echo: int,
    ) -> None:
        """Accept the opening of a flow."""
        if flow is not None and flow.is_open:
            return
        own = random.getrandbits(31)
        flow = ServerFlow(own + 1, seq + 1, echo)
        self.flows[key] = flow
        self.openings.append(time.monotonic())
        self.send(key, flow, own, SYN | ACK)

    def handle_packet(
        self,
        key: tuple[int, ...],
        flow: ServerFlow,
        head: tuple[int, int],
        payload: bytes,
    ) -> None:
        """Handle a packet of an open flow."""
        seq, flags = head
        if flags & RST:
            self.flows.pop(key)
        elif payload:
            self.handle_payload(key, flow, seq, payload)
        elif flags & FIN:
            flow.peer_next = seq + 1
            self.send(key, flow, flow.own_next, FIN | ACK)
            self.flows.pop(key)

    def handle_payload(
        self, key: tuple[int, ...], flow: ServerFlow, seq: int, payload: bytes
    ) -> None:
        """Run a request, or answer its repetition."""
        if seq != flow.peer_next:
            if payload == flow.last_payload and flow.last_reply:
                before = (flow.own_next - len(flow.last_reply)) % 2**32
                self.send(key, flow, before, ACK, flow.last_reply)
            return
        flow.peer_next = (seq + len(payload)) % 2**32
        flow.last_payload, flow.last_reply = payload, b''
        request_id = payload.partition(b'Request-Id: ')[2].partition(b'\r')[0]
        self.requests_run.append(request_id.decode())
        self.world.note(f'run {request_id.decode()} by {self.server_id}')
        reply = (
            b'HTTP/1.1 200 OK\r\nResponse-Stamp: %s/%s\r\n'
            b'Content-Length: 0\r\n\r\n'
        ) % (self.server_id.encode(), request_id)
        asyncio.get_running_loop().call_later(
            self.work, self.finish, key, flow, reply
        )

    def finish(
        self, key: tuple[int, ...], flow: ServerFlow, reply: bytes
    ) -> None:
        """Send the response to a request."""
        if self.is_running and self.flows.get(key) is flow:
            flow.last_reply = reply
            self.send(key, flow, flow.own_next, ACK, reply)
            flow.own_next = (flow.own_next + len(reply)) % 2**32

    def send(
        self,
        key: tuple[int, ...],
        flow: ServerFlow,
        seq: int,
        flags: int,
        payload: bytes = b'',
    ) -> None:
        """Send a packet to the client of a flow."""
        dport, sport, dst, src = key
        raw = pack(
            (flow.echo, seq, flow.peer_next, flags, sport, dport, src, dst),
            payload,
        )
        self.transport.sendto(raw, (ip_text(src), DATA_PORT))

    def send_reset(self, key: tuple[int, ...], seq: int) -> None:
        """Reset a flow that this server does not hold."""
        self.resets_sent += 1
        dport, sport, dst, src = key
        raw = pack((0, seq, 0, RST, sport, dport, src, dst))
        self.transport.sendto(raw, (ip_text(src), DATA_PORT))

    def report(self) -> dict[str, Any]:
        """Return the body of the next check-in."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 2,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def check_in(self, names: list[str]) -> None:
        """Send one check-in: to the next node if one does not acknowledge."""
        body = json.dumps(self.report()).encode()
        state = self.state
        path = f'/api/instances/{self.server_id}/heartbeat'
        for name in names:
            answer = await call(
                control_address(self.world, name), 'POST', path, body
            )
            if state != 'ready':
                status = answer[0] if answer else None
                self.world.note(
                    f'{self.server_id} {state} to {name} -> {status}'
                )
            if answer and answer[0] // 100 == 2:
                self.acks.append(time.monotonic())
                if state == 'draining' and self.draining_acked_at is None:
                    self.draining_acked_at = time.monotonic()
                    self.acked_by = name
                return

    async def send_check_ins(self, names: list[str]) -> None:
        """Check in again and again, at the nodes that are listed by then."""
        while self.is_running:
            await self.check_in(list(names))
            await asyncio.sleep(HEARTBEAT_SECONDS)


def ip_text(number: int) -> str:
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


async def start_server(world: World, server: Server, names: list[str]) -> None:
    """Bind a server's socket, and begin its check-ins."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: server, local_addr=(server.host, SERVER_PORT)
    )
    world.note(f'server {server.server_id} ({server.service}) at {server.host}')
    world.spawn(server.send_check_ins(names))


# Clients


@dataclass
class Flow:
    """One flow of the client."""

    port: int
    service_port: int
    opened_at: float = 0.0
    own_next: int = 0
    peer_next: int = 0
    echo: int = 0
    server_id: str = ''
    is_open: bool = False
    is_over: bool = False
    reply: asyncio.Event = field(default_factory=asyncio.Event)
    last_reply: bytes = b''
    system_resets: int = 0
    server_resets: int = 0


class Client(asyncio.DatagramProtocol):
    """A client: opens flows through the routers and sends requests on them."""

    def __init__(self, world: World, number: int = 1) -> None:
        """Create a client that is not running yet."""
        self.world = world
        self.host = host_address(world, f'client-{number}')
        self.ip = int.from_bytes(socket.inet_aton(self.host), 'big')
        self.ports = itertools.count(random.randrange(20000, 40000))
        self.ids = itertools.count(1)
        self.flows: dict[tuple[int, int], Flow] = {}
        self.counts = {'opened': 0, 'not opened': 0, 'answered': 0, 'lost': 0}
        self.on_reset: Any = None
        # A node that takes all packets, instead of the routers' choice.
        self.through = ''
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, raw: bytes, _: Any) -> None:
        """Handle one packet of a server, or a reset of the system."""
        head = HEADER.unpack_from(raw)
        total, echo, seq, _, flags, _, _, dport, sport, _, _ = head
        flow = self.flows.get((dport, sport))
        if flow is None:
            return
        if flags & RST:
            self.handle_reset(flow, total, seq)
            return
        if total != checksum(raw):
            self.world.break_rule('MIXED a client got a changed packet')
            return
        if flags & SYN:
            if not flow.is_open and not flow.is_over:
                flow.is_open = True
                flow.opened_at = time.monotonic()
                flow.echo, flow.peer_next = echo, (seq + 1) % 2**32
                self.send(flow, ACK)
                flow.reply.set()
            return
        if not flow.is_open:
            return
        flow.echo = echo
        payload = raw[HEADER.size :]
        if payload and seq == flow.peer_next:
            flow.peer_next = (seq + len(payload)) % 2**32
            flow.last_reply = payload
            self.send(flow, ACK)
            flow.reply.set()

    def handle_reset(self, flow: Flow, total: int, seq: int) -> None:
        """Count a reset; one with sum 0 is of the system."""
        if total == 0:
            flow.system_resets += 1
        else:
            flow.server_resets += 1
        if flow.is_open and not flow.is_over:
            distance = (seq - flow.peer_next + 2**31) % 2**32 - 2**31
            if total == 0 and abs(distance) > 76_800:
                return
            flow.is_over = True
            flow.reply.set()
            if self.on_reset is not None:
                self.on_reset(flow, total == 0)
        elif not flow.is_open:
            flow.is_over = True
            flow.reply.set()

    def send(self, flow: Flow, flags: int, payload: bytes = b'') -> None:
        """Send a packet through the node that the routers select."""
        names = [self.through] if self.through else sorted(self.world.ready)
        if not names:
            return
        raw = pack(
            (
                flow.echo,
                flow.own_next,
                flow.peer_next,
                flags,
                flow.service_port,
                flow.port,
                SERVICE_IP,
                self.ip,
            ),
            payload,
        )
        name = names[zlib.crc32(raw[20:32]) % len(names)]
        address = (host_address(self.world, name), DATA_PORT)
        with contextlib.suppress(OSError):
            self.transport.sendto(raw, address)

    async def open(self, service_port: int = 443) -> Flow | None:
        """Open a flow; return None if that fails."""
        flow = Flow(next(self.ports) % 40000 + 20000, service_port)
        flow.own_next = random.getrandbits(31)
        self.flows[flow.port, service_port] = flow
        started = time.monotonic()
        for copies, delay in enumerate(OPENING_DELAYS):
            wait = started + delay - time.monotonic()
            if wait > 0:
                await self.wait_reply(flow, wait)
            if flow.is_open or flow.is_over:
                break
            flow.peer_next = copies
            flow.reply.clear()
            self.send(flow, SYN)
        if not flow.is_open and not flow.is_over:
            await self.wait_reply(
                flow, started + OPENING_TIMEOUT - time.monotonic()
            )
        if flow.is_open:
            self.counts['opened'] += 1
            flow.own_next = (flow.own_next + 1) % 2**32
            self.send(flow, ACK)
            return flow
        flow.is_over = True
        self.counts['not opened'] += 1
        return None

    async def wait_reply(self, flow: Flow, seconds: float) -> bool:
        """Wait for the next event of a flow."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(flow.reply.wait(), max(seconds, 0.001))
            return True
        return False

    async def request(self, flow: Flow, seconds: float = 2.0) -> bool:
        """Send a request on an open flow; return whether it was answered."""
        request_id = f'{self.host}/{next(self.ids)}'
        payload = f'GET / HTTP/1.1\r\nRequest-Id: {request_id}\r\n\r\n'.encode()
        flow.reply.clear()
        self.world.note(f'sent {request_id} on flow {flow.port}')
        until = time.monotonic() + seconds
        pause = FIRST_RETRANSMISSION
        while not flow.is_over and time.monotonic() < until:
            self.send(flow, ACK, payload)
            wait = min(pause, until - time.monotonic())
            if await self.wait_reply(flow, wait):
                break
            pause = min(2 * pause, LAST_RETRANSMISSION)
        if flow.is_over or request_id.encode() not in flow.last_reply:
            self.counts['lost'] += 1
            self.world.note(f'no answer to {request_id}')
            return False
        flow.own_next = (flow.own_next + len(payload)) % 2**32
        stamp = flow.last_reply.partition(b'Response-Stamp: ')[2]
        flow.server_id = stamp.partition(b'/')[0].decode()
        self.counts['answered'] += 1
        self.world.note(f'answered {request_id} by {flow.server_id}')
        return True


async def start_client(world: World, number: int = 1) -> Client:
    """Bind a client's socket."""
    client = Client(world, number)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: client, local_addr=(client.host, DATA_PORT)
    )
    return client


# The run


async def start_system(
    world: World, controls: list[str], balancers: list[str]
) -> None:
    """Start all programs, put a first desired state in force, and wait.

    Raises
    ------
    CannotRunError
        If the system does not serve within half a minute.
    """
    world.seeds = [control_address(world, name) for name in controls[:3]]
    for name in (*controls, *balancers):
        start(world, name, is_bootstrap=True)
    world.spawn(supervise(world))
    world.spawn(poll_readiness(world, balancers))
    if not await replace_configuration(world, controls, 1, 25):
        raise CannotRunError('the first desired state was not acknowledged')


async def wait_ready(world: World, count: int, seconds: float = 20) -> None:
    """Wait until some balancers are in rotation.

    Raises
    ------
    CannotRunError
        If they are not in time.
    """
    until = time.monotonic() + seconds
    while len(world.ready) < count:
        if time.monotonic() > until:
            raise CannotRunError(f'in rotation: {sorted(world.ready)}')
        await asyncio.sleep(0.1)


def end_all(world: World) -> None:
    """End every process that was started, and remove the folder."""
    for process in world.processes.values():
        if process.poll() is None:
            process.kill()
    for process in world.processes.values():
        process.wait()
    if os.environ.get('KEEP', '') != '1':
        shutil.rmtree(world.folder, ignore_errors=True)


def run_case(
    folder: Path, case: Any, seconds: float = 115, **options: Any
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if not, 2 if not run."""
    try:
        world = make_world(folder, **options)
    except CannotRunError as error:
        print(f'cannot run: {error}')
        return 2

    async def limited() -> None:
        async with asyncio.timeout(seconds):
            await case(world)

    try:
        asyncio.run(limited())
    except (CannotRunError, TimeoutError, OSError) as error:
        world.note(f'cannot run: {error!r}')
        return 2
    finally:
        end_all(world)
    world.note(f'{len(world.breaks)} breaks of the rule')
    print('\n'.join(world.lines[-6:]))
    return 1 if world.breaks else 0
