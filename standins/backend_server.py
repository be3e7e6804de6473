"""Simulates a backend server with slots, load, drain and cold start."""

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

from standins.wire import Kind, decode_packet, encode_packet, split_address

MAX_DATAGRAM = 65_535
ANSWER_PARTS = 3
ANNOUNCE_SECONDS = 0.3
STOP_SECONDS = 5.0
POLL_SECONDS = 0.05


@dataclass(slots=True)
class Server:
    """State of a simulated backend server.

    Attributes
    ----------
    in_flight
        Requests that are running or queued.
    foreign_packets
        Packets of flows that are not open here.
    """

    options: argparse.Namespace
    sock: trio.socket.SocketType
    nursery: trio.Nursery
    flows: set[bytes] = field(default_factory=set)
    runs_by_request: Counter[str] = field(default_factory=Counter)
    cancelled: set[bytes] = field(default_factory=set)
    in_flight: int = 0
    refused_opens: int = 0
    foreign_packets: int = 0
    draining: bool = False
    started_at: float = field(default_factory=time.monotonic)


def announced_state(server: Server) -> str:
    """Return the state to announce: draining, starting or ready."""
    if server.draining:
        return 'draining'
    age = time.monotonic() - server.started_at
    return 'starting' if age < server.options.cold_start else 'ready'


def make_announcement(server: Server, sequence: int) -> dict[str, object]:
    """Build the body of an announcement."""
    options = server.options
    return {
        'backend_id': options.id,
        'pool': options.pool,
        'data_centre': options.data_centre,
        'address': options.listen,
        'slots': options.slots,
        'connection_limit': options.connections,
        'connections': len(server.flows),
        'load': min(server.in_flight / options.slots, 1.0),
        'state': announced_state(server),
        'incarnation': options.incarnation,
        'sequence': sequence,
    }


async def send_announcements(server: Server) -> None:
    """Announce the server periodically, to the balancers in rotation."""
    addresses = itertools.cycle(server.options.announce)
    async with httpx.AsyncClient(timeout=1) as client:
        for sequence in itertools.count(1):
            url = f'http://{next(addresses)}/announce'
            try:
                await client.post(url, json=make_announcement(server, sequence))
            except httpx.HTTPError:
                continue
            await trio.sleep(ANNOUNCE_SECONDS)


async def reply(server: Server, raw: bytes) -> None:
    """Send a packet to the caller through the fabric."""
    await server.sock.sendto(raw, split_address(server.options.fabric))


async def handle_open(server: Server, flow: bytes) -> None:
    """Open a flow, or refuse it at the connection limit."""
    is_full = len(server.flows) >= server.options.connections
    if flow not in server.flows and is_full:
        server.refused_opens += 1
        await reply(server, encode_packet(Kind.FLOW_ENDED, flow))
        return
    server.flows.add(flow)
    await reply(server, encode_packet(Kind.OPENED, flow, server.options.id))


async def run_request(
    server: Server, flow: bytes, request_id: bytes, payload: bytes
) -> None:
    """Wait for the service time, then send the answer in parts."""
    server.in_flight += 1
    server.runs_by_request[request_id.hex()] += 1
    await trio.sleep(server.options.service_time)
    server.in_flight -= 1
    if request_id in server.cancelled:
        return
    body = b'%s %s' % (server.options.pool.encode(), payload)
    size = -(-len(body) // ANSWER_PARTS)
    for part in range(ANSWER_PARTS):
        piece = body[part * size : (part + 1) * size]
        await reply(
            server,
            encode_packet(
                Kind.ANSWER, flow, request_id, part, ANSWER_PARTS, piece
            ),
        )


async def handle_request(server: Server, fields: list[object]) -> None:
    """Run a request, or shed it when the slots and the queue are full."""
    flow, request_id, _, _, payload = fields
    assert isinstance(flow, bytes)
    assert isinstance(request_id, bytes)
    assert isinstance(payload, bytes)
    if server.in_flight >= server.options.slots + server.options.queue:
        await reply(server, encode_packet(Kind.SHED, flow, request_id))
    else:
        server.nursery.start_soon(
            run_request, server, flow, request_id, payload
        )


async def handle_cancel(server: Server, fields: list[object]) -> None:
    """Suppress the answer to a request."""
    request_id = fields[1]
    assert isinstance(request_id, bytes)
    server.cancelled.add(request_id)


async def handle_close(server: Server, fields: list[object]) -> None:
    """Close a flow."""
    flow = fields[0]
    assert isinstance(flow, bytes)
    server.flows.discard(flow)


async def handle_upload(server: Server, fields: list[object]) -> None:
    """Echo the payload, prefixed with the id of the server."""
    flow, payload = fields
    assert isinstance(payload, bytes)
    echo = b'%s %s' % (server.options.id.encode(), payload)
    await reply(server, encode_packet(Kind.DOWNLOAD, flow, 0, echo))


HANDLERS = {
    Kind.REQUEST: handle_request,
    Kind.UPLOAD: handle_upload,
    Kind.CANCEL: handle_cancel,
    Kind.CLOSE: handle_close,
}


async def handle_packet(server: Server, fields: list[object]) -> None:
    """Dispatch one packet; reply FLOW_ENDED if its flow is unknown."""
    kind, flow, *_ = fields
    assert isinstance(kind, int)
    assert isinstance(flow, bytes)
    if kind == Kind.OPEN:
        await handle_open(server, flow)
    elif flow in server.flows:
        await HANDLERS[Kind(kind)](server, fields[1:])
    elif kind != Kind.CLOSE:
        server.foreign_packets += 1
        await reply(server, encode_packet(Kind.FLOW_ENDED, flow))


async def receive_packets(server: Server) -> None:
    """Receive and handle packets until cancelled."""
    while True:
        raw = await server.sock.recv(MAX_DATAGRAM)
        await handle_packet(server, decode_packet(raw))


async def handle_signals(server: Server) -> None:
    """Drain on SIGUSR1; drain, finish and report on SIGTERM."""
    handled = (signal.SIGUSR1, signal.SIGTERM)
    with trio.open_signal_receiver(*handled) as signals:
        async for number in signals:
            server.draining = True
            if number == signal.SIGTERM:
                await finish_and_report(server)
                return


async def finish_and_report(server: Server) -> None:
    """Wait for unfinished requests, then print the counts as JSON and exit."""
    with trio.move_on_after(STOP_SECONDS):
        while server.in_flight:
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
    """Run the server until it receives SIGTERM."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(split_address(options.listen))
    async with trio.open_nursery() as nursery:
        server = Server(options, sock, nursery)
        nursery.start_soon(send_announcements, server)
        nursery.start_soon(receive_packets, server)
        nursery.start_soon(handle_signals, server)


def make_parser() -> argparse.ArgumentParser:
    """Build the command line parser."""
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
