"""Programs, servers, a caller and an operator for the cases of review 2.

Only the standard library is used. Everything has its own loopback address in a
block that is free when the stage is built. The two programs are started with
the commands of the deploy file.
"""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT, INTERNAL_PORT = 7001, 7101
DATA_PORT, READY_PORT, SERVER_PORT = 7201, 7301, 8001
HEADER = struct.Struct('!IIIIBBHHHII')
FIN, RST, SYN, ACK = 16, 8, 32, 64
SUM_KEY = b'review-2'
HTTP_SECONDS = 1.0
READY_SECONDS = 0.5
START_SECONDS = 30.0
BEAT_SECONDS = 0.4
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_period_s': 6,
    'config_propagation_ms': 3000,
    'downgrade_slack_ms': 250,
    'max_stretch_ms': 12000,
    'recovery_s': 12,
    'flow_reorder_ms': 2000,
    'max_flow_s': 60,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.began = time.monotonic()

    def line(self, text):
        """Write a line with the seconds since the start."""
        seconds = time.monotonic() - self.began
        self.file.write(f'{seconds:8.3f} {text}\n')
        self.file.flush()


def free_block():
    """Return the first two numbers of loopback addresses that are free."""
    for step in range(150):
        block = f'127.{50 + (os.getpid() + step) % 150}'
        try:
            for port in (CONTROL_PORT, INTERNAL_PORT, 9464):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f'{block}.1.1', port))
        except OSError:
            continue
        return block
    raise CaseError('no free block of loopback addresses')


def milliseconds():
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Stage:
    """The running programs, and the tables of the stand-ins."""

    def __init__(self, record, controls=3, balancers=2, tolerated=1):
        self.record = record
        self.block = free_block()
        self.folder = Path(tempfile.mkdtemp(prefix='review-2-'))
        self.tolerated = tolerated
        self.controls = [f'control-{n}' for n in range(1, controls + 1)]
        self.balancers = [f'balancer-{n}' for n in range(1, balancers + 1)]
        self.processes = {}
        self.ready = {}
        self.tasks = []
        self.packets_from = {}

    def ip(self, name):
        """Return the address of a program."""
        kind, _, number = name.partition('-')
        return f'{self.block}.{1 if kind == "control" else 2}.{number}'

    def start(self, name, *, bootstrap=False):
        """Start a program with the command of the deploy file."""
        ip, kind = self.ip(name), name.partition('-')[0]
        is_control = kind == 'control'
        zone = f'zone-{(int(name.partition("-")[2]) - 1) % 3 + 1}'
        bind = (
            {'control_plane': f'{ip}:{CONTROL_PORT}'}
            if is_control
            else {
                'datagram_address': f'{ip}:{DATA_PORT}',
                'readiness_address': f'{ip}:{READY_PORT}',
            }
        )
        data = self.folder / f'{name}.data'
        if is_control:
            data.mkdir(exist_ok=True)
        settings = {
            'node_name': name,
            'role': kind,
            'machine_class': 'core' if is_control else 'frontend',
            'serves': ['control_plane' if is_control else 'frontend'],
            'ip_address': ip,
            'zone': zone,
            'region': 'region',
            'zones': {f'zone-{n}': 'region' for n in (1, 2, 3)},
            'bind_addresses': bind,
            'internal_port_range': [INTERNAL_PORT, INTERNAL_PORT + 15],
            'seeds': [
                f'{self.ip(one)}:{CONTROL_PORT}' for one in self.controls[:3]
            ],
            'bootstrap': bootstrap,
            'in_tolerance': is_control,
            'limits': {
                'cpu_share': 0.8,
                'cores': 2,
                'memory_mb': 430,
                'file_descriptors': 4096,
                'link_mbps': 1000.0,
                'disk_mb': 128 if is_control else 0,
            },
            'data_directory': str(data) if is_control else None,
            'discovery': 'registry',
            'entry': 'announcement',
            'heartbeat_interval_ms': round(BEAT_SECONDS * 1000),
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'flows',
            ],
            'fault_tolerance': {
                'machines': self.tolerated,
                'zones': 1,
                'regions': 0,
            },
            'bounds': BOUNDS,
            'config_mode': 'highest',
            'flow_hash': 'mod',
            'forwarding_mode': 'echo',
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        environment['MUSTARDHOLD_NODE_FILE'] = str(path)
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                ['python3', '-S', '-m', 'mustardhold.platform', kind],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.line(f'start {name}')

    def signal(self, name, number):
        """Send a signal to a program."""
        self.record.line(f'signal {number.name} to {name}')
        self.processes[name].send_signal(number)

    async def begin(self):
        """Start all programs and the fabric."""
        if not (ROOT / 'target/deps/mustardhold').is_dir():
            raise CaseError('target/deps is missing: build first')
        for name in (*self.controls, *self.balancers):
            self.start(name, bootstrap=True)
        for name in self.balancers:
            self.tasks.append(asyncio.create_task(self.watch_ready(name)))

    async def wait_ready(self):
        """Wait until all balancers are in rotation."""
        limit = time.monotonic() + START_SECONDS
        while not all(self.ready.get(name) for name in self.balancers):
            if time.monotonic() > limit:
                raise CaseError('the balancers did not become ready')
            await asyncio.sleep(0.1)

    async def watch_ready(self, name):
        """Ask for readiness twice a second; two misses end the rotation."""
        misses = 0
        while True:
            address = f'{self.ip(name)}:{READY_PORT}'
            status, _ = await call('GET', address, '/api/readiness', b'', 0.4)
            misses = 0 if status == 200 else misses + 1
            is_ready = self.ready.get(name, False)
            if status == 200 and not is_ready:
                self.ready[name] = True
                self.record.line(f'fabric: {name} is in rotation')
            if misses >= 2 and is_ready:
                self.ready[name] = False
                self.record.line(f'fabric: {name} is out of rotation')
            await asyncio.sleep(READY_SECONDS)

    def route(self, flow_key):
        """Return the balancer of a flow: a hash over those in rotation."""
        names = [name for name in self.balancers if self.ready.get(name)]
        names = names or self.balancers
        return names[zlib.crc32(flow_key) % len(names)]

    async def ask_control(self, method, path, body, order=None):
        """Call control instances in turn until one gives a clear answer.

        Returns
        -------
        tuple
            The status, the body and the name of the instance; 0 without an
            answer.
        """
        for name in order or self.controls:
            address = f'{self.ip(name)}:{CONTROL_PORT}'
            status, answer = await call(
                method, address, path, body, HTTP_SECONDS
            )
            if status and status < 500 and status not in {408, 429}:
                return status, answer, name
        return 0, b'', ''

    async def replace(self, version, routes, services, order=None):
        """Send a desired state until it is acknowledged."""
        body = desired_state(version, routes, services)
        limit = time.monotonic() + START_SECONDS
        while time.monotonic() < limit:
            status, answer, name = await self.ask_control(
                'POST', '/api/configuration/replace', body, order
            )
            if status == 200:
                self.record.line(f'operator: version {version} acked by {name}')
                return name
            if status:
                raise CaseError(f'version {version}: {status} {answer!r}')
            await asyncio.sleep(0.1)
        raise CaseError(f'version {version} was not acknowledged')

    async def end(self):
        """End all processes and tasks, and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        pending = set(self.tasks)
        # A wait that ends at the same moment may swallow a cancellation.
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=0.5)
        if os.environ.get('KEEP_LOGS'):
            sys.stderr.write(f'logs in {self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def desired_state(version, routes, services):
    """Encode a desired state.

    Parameters
    ----------
    routes
        For each route: its address, its port and its service.
    """
    body = {
        'version': version,
        'routes': [
            {
                'name': f'r-{ip}-{port}',
                'host': ip,
                'path_prefix': f'/{port}/',
                'kind': 'safe',
                'timeout_ms': 2500,
                'target_latency_ms': 250,
                'priority': 1,
                'service': service,
                'max_attempts': 2,
            }
            for ip, port, service in routes
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
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
    return json.dumps(body).encode()


async def call(method, address, path, body, seconds):
    """Send one HTTP request on a new connection; status 0 without answer."""
    try:
        return await asyncio.wait_for(
            call_once(method, address, path, body), seconds
        )
    except (TimeoutError, OSError, ValueError, IndexError, EOFError):
        return 0, b''


async def call_once(method, address, path, body):
    """Send one HTTP request and read its response."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        writer.write(head.encode() + body)
        await writer.drain()
        raw_head = await reader.readuntil(b'\r\n\r\n')
        lines = raw_head.decode('latin-1').split('\r\n')
        status = int(lines[0].split(' ')[1])
        length = 0
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name.lower() == 'content-length':
                length = int(value)
        return status, await reader.readexactly(length)
    finally:
        writer.close()


class Head(NamedTuple):
    """The head of a packet."""

    total: int
    echo: int
    seq: int
    ack: int
    flags: int
    pad: int
    length: int
    dport: int
    sport: int
    dst: int
    src: int

    @property
    def key(self):
        """Both ends of the flow."""
        return self.dport, self.sport, self.dst, self.src


async def happens(event, seconds):
    """Wait for an event; return whether it happens within a time."""
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return False
    return True


def checksum(raw):
    """Return the keyed sum of a packet, never 0."""
    body = raw[8:16] + bytes([raw[16] & 127, 0]) + raw[18:]
    return zlib.crc32(body, zlib.crc32(SUM_KEY)) or 1


def pack(flags, numbers, ends, data=b''):
    """Encode a packet.

    Parameters
    ----------
    numbers
        Its echo, seq and ack.
    ends
        Its dport, sport, dst and src.
    """
    raw = HEADER.pack(0, *numbers, flags, 0, len(data), *ends) + data
    return checksum(raw).to_bytes(4, 'big') + raw[4:]


def ip_number(text):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(text), 'big')


def ip_text(number):
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


class Server(asyncio.DatagramProtocol):
    """A boot of a host: it takes flows and checks in."""

    numbers = itertools.count(0x5A1C0001)

    def __init__(self, stage, service, ip, zone='zone-1', server_id=''):
        self.stage = stage
        self.service = service
        self.ip = ip
        self.zone = zone
        self.id = server_id or f'i-{next(self.numbers):x}'
        self.number = int(self.id.partition('-')[2], 16)
        self.born = milliseconds()
        self.sequence = 0
        self.state = 'ready'
        self.flows = {}
        self.is_running = False
        self.transport = None
        self.task = None
        self.acked = asyncio.Event()
        self.draining_acked_at = None
        self.changed_packets = 0
        self.order = list(stage.controls)

    @property
    def name(self):
        """Name of the boot in the record."""
        return f'{self.id}@{self.ip}'

    async def begin(self):
        """Listen, and check in until an instance acknowledges it."""
        await self.listen()
        self.check_in()
        await asyncio.wait_for(self.acked.wait(), START_SECONDS)

    async def listen(self):
        """Listen for packets."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, SERVER_PORT)
        )
        self.is_running = True
        self.stage.record.line(
            f'server {self.name} of {self.service} starts, born {self.born}'
        )

    def check_in(self):
        """Begin to check in."""
        self.task = asyncio.create_task(self.check_in_repeatedly())
        self.stage.tasks.append(self.task)

    def crash(self):
        """Forget all flows and send nothing more."""
        self.is_running = False
        self.task.cancel()
        self.transport.close()
        self.flows.clear()
        self.stage.record.line(f'server {self.name} crashes')

    def check_in_body(self):
        """Return the body of the next check-in."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.ip}:{SERVER_PORT}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 3,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def check_in_repeatedly(self):
        """Check in at an instance; go to the next one after a failure."""
        while self.is_running:
            order = self.order
            state = self.state
            body = json.dumps(self.check_in_body()).encode()
            address = f'{self.stage.ip(order[0])}:{CONTROL_PORT}'
            path = f'/api/instances/{self.id}/heartbeat'
            status, _ = await call('POST', address, path, body, HTTP_SECONDS)
            if not 200 <= status < 300:
                order.append(order.pop(0))
                await asyncio.sleep(0.05)
                continue
            if not self.acked.is_set():
                self.stage.record.line(f'server {self.name} is acknowledged')
                self.acked.set()
            if state == 'draining' and self.draining_acked_at is None:
                self.draining_acked_at = time.monotonic()
                self.stage.record.line(
                    f'server {self.name}: draining acked by {order[0]}'
                )
            await asyncio.sleep(BEAT_SECONDS)

    def datagram_received(self, data, addr):
        """Answer a packet, unless it is for another host."""
        number, raw = int.from_bytes(data[:8], 'big'), data[8:]
        is_mine = self.is_running and number in {0, self.number}
        if not is_mine or len(raw) < HEADER.size:
            return
        head = Head(*HEADER.unpack_from(raw))
        if head.total != checksum(raw):
            self.changed_packets += 1
        elif head.flags == SYN:
            self.take_opening(head, raw, addr)
        else:
            self.take_packet(head, raw[HEADER.size :])

    def reply(self, head, flags, seq, ack, data=b''):
        """Send a packet to the caller of a packet, with its echo."""
        ends = (head.sport, head.dport, head.src, head.dst)
        raw = pack(flags, (head.echo, seq, ack), ends, data)
        self.transport.sendto(raw, (ip_text(head.src), DATA_PORT))

    def take_opening(self, head, raw, sender):
        """Answer an opening with a sequence number of this host's own."""
        flow = self.flows.get(head.key)
        if flow is None:
            flow = {'open': False, 'seq': zlib.crc32(raw) & 0xFFFFFF}
            self.flows[head.key] = flow
            self.on_opening(sender)
        self.reply(head, SYN | ACK, flow['seq'], head.seq + 1)

    def take_packet(self, head, body):
        """Answer a packet of a flow; reset a flow that is not held."""
        flow = self.flows.get(head.key)
        if flow is None:
            if not head.flags & RST:
                self.reply(head, RST, head.ack, 0)
            return
        if head.flags & RST:
            self.flows.pop(head.key)
            return
        flow['open'] = flow['open'] or head.ack == flow['seq'] + 1
        if flow['open'] and body:
            end = (head.seq + len(body)) % 2**32
            self.reply(head, ACK, head.ack, end, self.answer(body))

    def answer(self, body):
        """Return the response to a request."""
        request = body.split(b'Request-Id: ')[1].split(b'\r\n')[0]
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: '
        stamp = b'\r\nResponse-Stamp: ' + self.name.encode()
        return head + request + stamp + b'\r\n\r\n'

    def on_opening(self, sender):
        """Take note of a new flow; a case may replace this."""


class Flow:
    """A flow of the caller."""

    def __init__(self, port, service_ip, service_port):
        self.port = port
        self.ip = service_ip
        self.service_port = service_port
        self.echo = 0
        self.seq = port * 1000
        self.ack = 0
        self.state = 'opening'
        self.opened = asyncio.Event()
        self.answered = asyncio.Event()
        self.server = ''
        self.opened_at = None
        self.answers = 0
        self.sent_through = {}


class Caller(asyncio.DatagramProtocol):
    """A consumer with many flows, on one address."""

    ports = itertools.count(20_000)
    requests = itertools.count(1)

    def __init__(self, stage, number=1):
        self.stage = stage
        self.ip = f'{stage.block}.4.{number}'
        self.flows = {}
        self.transport = None
        self.system_resets = []
        self.on_system_reset = None

    async def begin(self):
        """Listen at the port number of the balancers."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, DATA_PORT)
        )

    def send(self, flow, flags, ack, data=b''):
        """Send a packet through the balancer that the fabric chooses."""
        ends = (
            flow.service_port,
            flow.port,
            ip_number(flow.ip),
            ip_number(self.ip),
        )
        raw = pack(flags, (flow.echo, flow.seq, ack), ends, data)
        name = self.stage.route(raw[20:32])
        flow.sent_through[name] = flow.sent_through.get(name, 0) + 1
        self.transport.sendto(raw, (self.stage.ip(name), DATA_PORT))

    async def open(self, service_ip, service_port):
        """Open a flow; its state tells what came of it."""
        flow = Flow(next(self.ports), service_ip, service_port)
        self.flows[flow.port] = flow
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, SYN, copy)
            if await happens(flow.opened, pause):
                return flow
        if flow.state == 'opening':
            flow.state = 'unopened'
        return flow

    async def request(self, flow, seconds=2.0):
        """Send a request on an open flow; return whether it was answered."""
        number = next(self.requests)
        data = b'GET /feed HTTP/1.1\r\nHost: feed\r\nRequest-Id: '
        data += f'q-{number}\r\n\r\n'.encode()
        flow.answered.clear()
        pause, limit = 0.2, time.monotonic() + seconds
        while flow.state == 'open' and time.monotonic() < limit:
            self.send(flow, ACK, flow.ack, data)
            if not await happens(flow.answered, pause):
                pause = min(2 * pause, 1.6)
            elif flow.state == 'open':
                flow.seq += len(data)
                return True
        return False

    def datagram_received(self, data, addr):
        """Take a packet of a host, or a reset of the system."""
        if len(data) < HEADER.size:
            return
        head = Head(*HEADER.unpack_from(data))
        flow = self.flows.get(head.dport)
        if flow is None:
            return
        if head.flags & RST:
            self.take_reset(flow, head, addr)
        elif head.flags == SYN | ACK:
            self.take_opened(flow, head, addr)
        elif addr[0] == flow.server and flow.state == 'open':
            flow.echo = head.echo
            if len(data) > HEADER.size:
                flow.answers += 1
                flow.answered.set()

    def take_opened(self, flow, head, sender):
        """Accept the first answer to an opening."""
        if flow.state != 'opening':
            return
        flow.state, flow.echo, flow.server = 'open', head.echo, sender[0]
        flow.ack, flow.seq = head.seq + 1, flow.seq + 1
        flow.opened_at = time.monotonic()
        self.send(flow, ACK, flow.ack)
        flow.opened.set()

    def take_reset(self, flow, head, sender):
        """Take a reset of the system, or of the host of a flow."""
        if head.total == 0:
            self.take_system_reset(flow, sender)
        elif flow.state != 'open' or sender[0] == flow.server:
            self.close(flow, 'reset by host')

    def take_system_reset(self, flow, sender):
        """Note a reset that the system wrote."""
        state = flow.state
        self.system_resets.append((flow, state))
        if self.on_system_reset is not None:
            self.on_system_reset(flow, state, sender)
        self.close(flow, 'reset by the system')

    def close(self, flow, state):
        """End a flow."""
        flow.state = state
        flow.opened.set()
        flow.answered.set()


def run_case(case, folder):
    """Run a case and return its exit code: 1 broken, 0 held, 2 not run.

    Parameters
    ----------
    case
        Called with the record and whether the disruption takes place; returns
        the violations.
    """
    record = Record(Path(folder))
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.line(f'with the disruption: {has_trouble}')
    try:
        violations = asyncio.run(
            asyncio.wait_for(case(record, has_trouble), 115)
        )
    except (CaseError, TimeoutError, OSError) as error:
        record.line(f'the case could not run: {error!r}')
        sys.stdout.write(f'not run: {error!r}\n')
        return 2
    for violation in violations:
        record.line(f'BROKEN: {violation}')
    verdict = 'broken' if violations else 'held'
    record.line(f'result: {verdict}')
    sys.stdout.write(f'{verdict}: {len(violations)} violations\n')
    return 1 if violations else 0
