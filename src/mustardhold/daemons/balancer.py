"""The balancer process: sockets, HTTP and ticks around the tables."""

import functools
import logging
import socket
from dataclasses import dataclass

import httpx
import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import (
    Ask,
    Reply,
    json_reply,
    make_app,
)
from mustardhold.adapters.http_server import serve_http
from mustardhold.adapters.metrics import render_counters
from mustardhold.adapters.packet_codec import decode_packet, encode_packet
from mustardhold.adapters.peer_codec import decode_message, encode_message
from mustardhold.daemons.packet_loop import bind_socket, run_packet_loop
from mustardhold.daemons.stopping import stop_on_signal
from mustardhold.daemons.table_feed import follow_tables, make_feed
from mustardhold.daemons.table_pages import show_changes
from mustardhold.systems.addresses import caller_address, split_address
from mustardhold.systems.affinity import (
    take_backend_packet,
    take_caller_packet,
)
from mustardhold.systems.announcements import take_announced
from mustardhold.systems.peers import take_peer_message, tick
from mustardhold.tables.backends import BackendServer
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FLOW_KEY_BYTES, TICK
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import BackendPacket, CallerPacket
from mustardhold.tables.status import BalancerStatus
from mustardhold.tables.views import View

CALLER_BYTES = FLOW_KEY_BYTES // 2


@dataclass(slots=True)
class Balancer:
    """A running balancer."""

    options: BalancerOptions
    tables: BalancerTables
    clock: Clock
    data_socket: socket.socket
    peer_socket: socket.socket
    log: logging.Logger


def make_balancer(
    options: BalancerOptions, clock: Clock, log: logging.Logger
) -> Balancer:
    """Open a balancer's sockets and make its tables."""
    view = View(1, {member.instance_id: member for member in options.group})
    return Balancer(
        options,
        BalancerTables(options.instance_id, options.data_centre, view),
        clock,
        bind_socket(options.data_address),
        bind_socket(options.peer_address),
        log,
    )


def take_data(balancer: Balancer, raw: bytes) -> None:
    """Act on a datagram from the fabric or a backend server."""
    packet = decode_packet(raw)
    outbox: Outbox = []
    if isinstance(packet, CallerPacket):
        now = balancer.clock.monotonic()
        take_caller_packet(balancer.tables, now, packet, outbox)
    elif isinstance(packet, BackendPacket):
        take_backend_packet(balancer.tables, packet, outbox)
    else:
        balancer.tables.counters['', 'packet-malformed'] += 1
    send_all(balancer, outbox)


def take_message(balancer: Balancer, raw: bytes) -> None:
    """Act on a datagram from another balancer."""
    message = decode_message(raw)
    if message is None:
        balancer.tables.counters['', 'message-malformed'] += 1
        return
    outbox: Outbox = []
    now = balancer.clock.monotonic()
    take_peer_message(balancer.tables, now, message, outbox)
    send_all(balancer, outbox)


def send_all(balancer: Balancer, outbox: Outbox) -> None:
    """Send what the systems asked for; a full buffer drops and counts."""
    for send in outbox:
        try:
            send_one(balancer, send)
        except BlockingIOError:
            balancer.tables.counters['', 'send-buffer-full'] += 1
        except OSError:
            balancer.tables.counters['', 'send-failed'] += 1


def send_one(balancer: Balancer, send: ToBackend | ToCaller | ToPeer) -> None:
    """Send one packet or message."""
    match send:
        case ToBackend(address=address, packet=packet):
            balancer.data_socket.sendto(
                encode_packet(packet), split_address(address)
            )
        case ToCaller(packet=packet):
            balancer.data_socket.sendto(
                encode_packet(packet),
                caller_address(packet.flow[:CALLER_BYTES]),
            )
        case ToPeer(instance_id=instance_id, message=message):
            member = balancer.tables.view.members_by_id.get(instance_id)
            if member is not None:
                balancer.peer_socket.sendto(
                    encode_message(message), split_address(member.peer_address)
                )


async def take_announce(balancer: Balancer, ask: Ask) -> Reply:
    """Handle a backend server's announcement."""
    announced = msgspec.json.decode(ask.body, type=BackendServer)
    outbox: Outbox = []
    now = balancer.clock.monotonic()
    take_announced(balancer.tables, now, announced, outbox)
    send_all(balancer, outbox)
    return json_reply({'status': 'taken'})


def status_of(balancer: Balancer) -> BalancerStatus:
    """Describe a balancer."""
    tables = balancer.tables
    return BalancerStatus(
        tables.instance_id,
        tables.data_centre,
        tables.routing.version,
        tables.view.epoch,
        tuple(tables.view.members_by_id),
        len(tables.flows_by_key),
        tuple(known.announced for known in tables.backends_by_id.values()),
        {'/'.join(key): count for key, count in tables.counters.items()},
    )


async def show_status(balancer: Balancer, _: Ask) -> Reply:
    """Handle a question for the balancer's status."""
    return json_reply(status_of(balancer))


async def show_metrics(balancer: Balancer, _: Ask) -> Reply:
    """Handle a scrape of the metrics."""
    return render_counters(balancer.tables.counters)


async def run_ticks(balancer: Balancer) -> None:
    """Run the systems that time drives."""
    while True:
        await trio.sleep(TICK.total_seconds())
        outbox: Outbox = []
        tick(balancer.tables, balancer.clock.monotonic(), outbox)
        send_all(balancer, outbox)


async def run_balancer(
    options: BalancerOptions, clock: Clock, log: logging.Logger
) -> None:
    """Run a balancer until it is told to stop."""
    balancer = make_balancer(options, clock, log)
    stopping = trio.Event()
    feed = make_feed(options, balancer.tables, clock, log)
    app = make_app(
        {
            ('POST', '/announce'): functools.partial(take_announce, balancer),
            ('GET', '/changes'): functools.partial(show_changes, feed.watch),
            ('GET', '/status'): functools.partial(show_status, balancer),
            ('GET', '/metrics'): functools.partial(show_metrics, balancer),
        }
    )
    async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
        nursery.start_soon(stop_on_signal, stopping)
        nursery.start_soon(
            run_packet_loop,
            balancer.data_socket,
            functools.partial(take_data, balancer),
        )
        nursery.start_soon(
            run_packet_loop,
            balancer.peer_socket,
            functools.partial(take_message, balancer),
        )
        nursery.start_soon(run_ticks, balancer)
        nursery.start_soon(follow_tables, client, feed)
        log.info('balancer started')
        await serve_http(app, options.http_address, stopping)
        log.info('balancer stopped')
        nursery.cancel_scope.cancel()
