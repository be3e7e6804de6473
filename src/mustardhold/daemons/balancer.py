"""The balancer process: sockets, HTTP server and timer tick."""

import functools
import logging

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_client import HttpClient
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.balancer_http import make_balancer_app
from mustardhold.daemons.balancer_packets import (
    handle_data_datagram,
    handle_peer_datagram,
)
from mustardhold.daemons.balancer_state import Balancer, make_balancer
from mustardhold.daemons.error_reporting import report_error
from mustardhold.daemons.packet_loop import run_packet_loop
from mustardhold.daemons.sending import send_all
from mustardhold.daemons.stopping import stop_gracefully
from mustardhold.daemons.table_client import follow_tables, make_table_client
from mustardhold.systems.histograms import BATCH_PACKETS, observe
from mustardhold.systems.observing import expire_timers
from mustardhold.systems.peers import tick
from mustardhold.tables.constants import TICK
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.outbox import Outbox


async def run_ticks(balancer: Balancer) -> None:
    """Run the timer-driven systems at every tick."""
    while True:
        await trio.sleep(TICK.total_seconds())
        now = balancer.clock.monotonic()
        outbox: Outbox = []
        try:
            tick(balancer.tables, now, outbox)
        except Exception as error:  # the next tick may succeed
            report_error(balancer.error_reporter, 'tick-failed', error)
        send_all(balancer, outbox)
        expire_timers(balancer.observations, now)


async def run_balancer(
    options: BalancerOptions, clock: Clock, log: logging.Logger
) -> None:
    """Run a balancer until a signal stops it gracefully."""
    balancer = make_balancer(options, clock, log)
    table_client = make_table_client(options, balancer.tables, clock, log)
    app = make_balancer_app(balancer, table_client.table_publisher)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_gracefully, balancer)
        start_loops(balancer, nursery)
        nursery.start_soon(follow_tables, HttpClient(), table_client)
        log.info('balancer started')
        await serve_http(app, options.http_address, balancer.stopped)
        log.info('balancer stopped')
        nursery.cancel_scope.cancel()


def start_loops(balancer: Balancer, nursery: trio.Nursery) -> None:
    """Start the packet loops of both sockets and the tick loop."""
    observe_batch = functools.partial(
        observe,
        balancer.observations.histograms_by_key,
        (BATCH_PACKETS, '', ''),
    )
    nursery.start_soon(
        run_packet_loop,
        balancer.data_socket,
        balancer.data_socket.recv,
        functools.partial(handle_data_datagram, balancer),
        balancer.error_reporter,
        observe_batch,
    )
    nursery.start_soon(
        run_packet_loop,
        balancer.peer_socket,
        balancer.peer_socket.recvfrom,
        functools.partial(handle_peer_datagram, balancer),
        balancer.error_reporter,
        observe_batch,
    )
    nursery.start_soon(run_ticks, balancer)
