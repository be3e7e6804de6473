"""Stand-in of a backend server: slots, flows, load, drain and cold start."""

import argparse
import itertools
import json
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import httpx
import trio

from standins.wire import Kind, pack, split, unpack

MAX_DATAGRAM = 65_535
ANSWER_PARTS = 3
ANNOUNCE_SECONDS = 0.3
STOP_SECONDS = 5.0
POLL_SECONDS = 0.05


@dataclass(slots=True)
class Server:
    """A running backend server."""

    options: argparse.Namespace
    sock: trio.socket.SocketType
    nursery: trio.Nursery
    flows: set[bytes] = field(default_factory=set)
    runs_by_request: Counter[str] = field(default_factory=Counter)
    cancelled: set[bytes] = field(default_factory=set)
    busy: int = 0
    refused_opens: int = 0
    foreign_packets: int = 0
    draining: bool = False
    started: float = field(default_factory=time.monotonic)


def state_of(server: Server) -> str:
    """Name the state that the server announces."""
    if server.draining:
        return 'draining'
    age = time.monotonic() - server.started
    return 'starting' if age < server.options.cold_start else 'ready'


def announcement(server: Server, sequence: int) -> dict[str, object]:
    """Describe the server, as it announces itself."""
    options = server.options
    return {
        'backend_id': options.id,
        'pool': options.pool,
        'data_centre': options.data_centre,
        'address': options.listen,
        'slots': options.slots,
        'connection_limit': options.connections,
        'connections': len(server.flows),
        'load': min(server.busy / options.slots, 1.0),
        'state': state_of(server),
        'incarnation': options.incarnation,
        'sequence': sequence,
    }


async def announce(server: Server) -> None:
    """Announce the server to one balancer after another."""
    addresses = itertools.cycle(server.options.announce)
    async with httpx.AsyncClient(timeout=1) as client:
        for sequence in itertools.count(1):
            url = f'http://{next(addresses)}/announce'
            try:
                await client.post(url, json=announcement(server, sequence))
            except httpx.HTTPError:
                continue
            await trio.sleep(ANNOUNCE_SECONDS)


async def reply(server: Server, raw: bytes) -> None:
    """Send a packet towards its caller, through the fabric."""
    await server.sock.sendto(raw, split(server.options.fabric))


async def take_open(server: Server, flow: bytes) -> None:
    """Accept a flow, or refuse it when the server is full."""
    is_full = len(server.flows) >= server.options.connections
    if flow not in server.flows and is_full:
        server.refused_opens += 1
        await reply(server, pack(Kind.FLOW_ENDED, flow))
        return
    server.flows.add(flow)
    await reply(server, pack(Kind.OPENED, flow, server.options.id))


async def run_request(
    server: Server, flow: bytes, request_id: bytes, payload: bytes
) -> None:
    """Run a request in a slot, then answer in parts."""
    server.busy += 1
    server.runs_by_request[request_id.hex()] += 1
    await trio.sleep(server.options.service_time)
    server.busy -= 1
    if request_id in server.cancelled:
        return
    body = b'%s %s' % (server.options.pool.encode(), payload)
    size = -(-len(body) // ANSWER_PARTS)
    for part in range(ANSWER_PARTS):
        piece = body[part * size : (part + 1) * size]
        await reply(
            server,
            pack(Kind.ANSWER, flow, request_id, part, ANSWER_PARTS, piece),
        )


async def take_request(server: Server, fields: list[object]) -> None:
    """Run a request, or shed it while no slot is free."""
    flow, request_id, _, _, payload = fields
    assert isinstance(flow, bytes)
    assert isinstance(request_id, bytes)
    assert isinstance(payload, bytes)
    if server.busy >= server.options.slots + server.options.queue:
        await reply(server, pack(Kind.SHED, flow, request_id))
    else:
        server.nursery.start_soon(
            run_request, server, flow, request_id, payload
        )


async def take_cancel(server: Server, fields: list[object]) -> None:
    """Withhold the answer of a request."""
    request_id = fields[1]
    assert isinstance(request_id, bytes)
    server.cancelled.add(request_id)


async def take_close(server: Server, fields: list[object]) -> None:
    """End a flow."""
    flow = fields[0]
    assert isinstance(flow, bytes)
    server.flows.discard(flow)


async def take_upload(server: Server, fields: list[object]) -> None:
    """Send opaque bytes back, with the server's id before them."""
    flow, payload = fields
    assert isinstance(payload, bytes)
    echo = b'%s %s' % (server.options.id.encode(), payload)
    await reply(server, pack(Kind.DOWNLOAD, flow, 0, echo))


ACTIONS = {
    Kind.REQUEST: take_request,
    Kind.UPLOAD: take_upload,
    Kind.CANCEL: take_cancel,
    Kind.CLOSE: take_close,
}


async def take_packet(server: Server, fields: list[object]) -> None:
    """Act on one packet; one of an unknown flow is answered with its end."""
    kind, flow, *_ = fields
    assert isinstance(kind, int)
    assert isinstance(flow, bytes)
    if kind == Kind.OPEN:
        await take_open(server, flow)
    elif flow in server.flows:
        await ACTIONS[Kind(kind)](server, fields[1:])
    elif kind != Kind.CLOSE:
        server.foreign_packets += 1
        await reply(server, pack(Kind.FLOW_ENDED, flow))


async def receive(server: Server) -> None:
    """Take packets as they come."""
    while True:
        raw = await server.sock.recv(MAX_DATAGRAM)
        await take_packet(server, unpack(raw))


async def drain_on_signal(server: Server) -> None:
    """Announce a drain on SIGUSR1; finish and report on SIGTERM."""
    watched = (signal.SIGUSR1, signal.SIGTERM)
    with trio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            server.draining = True
            if number == signal.SIGTERM:
                await finish(server)
                return


async def finish(server: Server) -> None:
    """Let running requests end, then print what the server saw."""
    with trio.move_on_after(STOP_SECONDS):
        while server.busy:
            await trio.sleep(POLL_SECONDS)
    report = {
        'id': server.options.id,
        'pool': server.options.pool,
        'flows': len(server.flows),
        'refused_opens': server.refused_opens,
        'foreign_packets': server.foreign_packets,
        'runs_by_request': server.runs_by_request,
    }
    sys.stdout.write(json.dumps(report))
    sys.stdout.write('\n')
    server.nursery.cancel_scope.cancel()


async def run_server(options: argparse.Namespace) -> None:
    """Run the server until it is told to stop."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(split(options.listen))
    async with trio.open_nursery() as nursery:
        server = Server(options, sock, nursery)
        nursery.start_soon(announce, server)
        nursery.start_soon(receive, server)
        nursery.start_soon(drain_on_signal, server)


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line."""
    parser = argparse.ArgumentParser('backend_server')
    for name in ('id', 'pool', 'data-centre', 'listen', 'fabric'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--announce', action='append', required=True)
    parser.add_argument('--slots', type=int, default=2)
    parser.add_argument('--queue', type=int, default=64)
    parser.add_argument('--connections', type=int, default=2000)
    parser.add_argument('--incarnation', type=int, default=1)
    parser.add_argument('--service-time', type=float, default=0.01)
    parser.add_argument('--cold-start', type=float, default=0)
    return parser


if __name__ == '__main__':
    trio.run(run_server, make_parser().parse_args())
