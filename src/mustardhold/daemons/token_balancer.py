"""The balancer process of a deployment whose flows carry server tokens."""

import functools
import logging

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import Application, HandlersByPath, make_app
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.directory_maintenance import (
    forget_servers_periodically,
)
from mustardhold.daemons.error_reporting import ErrorReporter, report_error
from mustardhold.daemons.evidence_tasks import start_evidence_tasks
from mustardhold.daemons.feed_client import run_feed_client
from mustardhold.daemons.feed_handlers import make_feed_handlers
from mustardhold.daemons.feed_publisher import FeedPublisher, make_run_id
from mustardhold.daemons.feed_state import (
    DocumentSink,
    FeedClient,
    WatcherIdentity,
    group_addresses,
)
from mustardhold.daemons.link_sending import LinkSender, run_link_sender
from mustardhold.daemons.metrics_server import serve_metrics
from mustardhold.daemons.packet_loop import bind_socket, run_packet_loop
from mustardhold.daemons.report_logs import log_report
from mustardhold.daemons.signals import AsyncTask, stop_on_signal
from mustardhold.daemons.token_metrics import collect_metrics
from mustardhold.daemons.token_packets import (
    Codecs,
    TokenBalancer,
    handle_datagram,
    send,
)
from mustardhold.daemons.token_tables import handle_feed_reply, install_document
from mustardhold.systems.draining import Drain, is_drained
from mustardhold.systems.fleet_count import count_followers
from mustardhold.systems.forwarding_setup import make_tables
from mustardhold.systems.link_queue import (
    is_empty,
    make_link_queue,
)
from mustardhold.systems.liveness import forget_silent_servers
from mustardhold.systems.token_forwarding import configuration_version
from mustardhold.tables.constants import (
    DRAIN_CHECK_INTERVAL,
    FEED_WATCHERS_PER_BALANCER,
    WATCHED_CONTROLS,
)
from mustardhold.tables.options import TokenBalancerOptions


def make_token_balancer(
    options: TokenBalancerOptions,
    codecs: Codecs,
    clock: Clock,
    log: logging.Logger,
) -> TokenBalancer:
    """Open the socket for packets, and start with empty tables."""
    tables = make_tables(options)
    feed_client = FeedClient(
        WatcherIdentity(
            options.instance_id,
            options.data_centre,
            options.feed_address,
            serves_feed=True,
        ),
        tables.directory,
        clock,
        log,
        tables.counters,
        WATCHED_CONTROLS,
        set(options.control_addresses),
        DocumentSink(
            functools.partial(configuration_version, tables),
            lambda document: install_document(balancer, document),
            lambda: tables.last_feed_at,
        ),
        functools.partial(log_report, log),
        lambda received: handle_feed_reply(balancer, received),
        lambda: tables.evacuations.revision,
        lambda: count_followers(feed.watchers_by_name.values()),
    )
    feed = FeedPublisher(
        make_run_id(),
        tables.directory,
        lambda: balancer.document,
        lambda: tables.last_feed_at,
        lambda: group_addresses(feed_client),
        clock,
        FEED_WATCHERS_PER_BALANCER,
        lambda: tables.evacuations,
        lambda: tables.cold_limits.balancers,
    )
    balancer = TokenBalancer(
        options,
        tables,
        codecs,
        clock,
        log,
        bind_socket(options.data_address),
        feed_client,
        feed,
        ErrorReporter(log, tables.counters),
    )
    queue = make_link_queue(options.link_bytes_per_second, tables)
    if queue is not None:
        balancer.link = LinkSender(
            queue,
            functools.partial(send, balancer),
            clock,
            balancer.histograms_by_key,
        )
    return balancer


async def stop_gracefully(balancer: TokenBalancer, stopped: trio.Event) -> None:
    """Report unready at a signal, but forward packets while some arrive."""
    signal_received = trio.Event()
    await stop_on_signal(signal_received)
    balancer.log.info('balancer stopping')
    balancer.tables.is_stopping = True
    grace_seconds = balancer.options.stop_grace.total_seconds()
    drain = Drain(balancer.clock.monotonic(), grace_seconds)
    while not is_drained(
        drain, balancer.clock.monotonic(), last_activity_at(balancer)
    ):
        await trio.sleep(DRAIN_CHECK_INTERVAL.total_seconds())
    stopped.set()


def last_activity_at(balancer: TokenBalancer) -> float:
    """Return when the latest packet arrived; now while any is queued."""
    if balancer.link is None or is_empty(balancer.link.queue):
        return balancer.tables.last_packet_at
    return balancer.clock.monotonic()


def make_feed_app(balancer: TokenBalancer) -> Application:
    """Make the application that serves the feed to other balancers."""
    return make_app(
        make_feed_handlers(balancer.feed),
        on_error=functools.partial(
            report_error, balancer.error_reporter, 'feed-failed'
        ),
    )


async def run_token_balancer(
    balancer: TokenBalancer, handlers: HandlersByPath, watch_settings: AsyncTask
) -> None:
    """Run a balancer until a signal stops it.

    Parameters
    ----------
    handlers
        HTTP handlers for the fabric.
    watch_settings
        Task that applies changed settings.
    """
    stopped = trio.Event()
    app = make_app(
        handlers,
        on_error=functools.partial(
            report_error, balancer.error_reporter, 'http-failed'
        ),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_gracefully, balancer, stopped)
        nursery.start_soon(
            run_packet_loop,
            balancer.sock,
            balancer.sock.recv,
            functools.partial(handle_datagram, balancer),
            balancer.error_reporter,
            lambda _: None,
        )
        if balancer.link is not None:
            nursery.start_soon(run_link_sender, balancer.link)
        nursery.start_soon(run_feed_client, balancer.feed_client)
        start_evidence_tasks(balancer, nursery)
        nursery.start_soon(
            forget_servers_periodically,
            balancer.tables.directory,
            balancer.clock,
            forget_silent_servers,
        )
        nursery.start_soon(watch_settings)
        nursery.start_soon(
            serve_metrics,
            balancer.options.metrics_address,
            functools.partial(collect_metrics, balancer),
            stopped,
        )
        nursery.start_soon(
            serve_http,
            make_feed_app(balancer),
            balancer.options.feed_address,
            stopped,
        )
        balancer.log.info('balancer started')
        await serve_http(app, balancer.options.http_address, stopped)
        balancer.log.info('balancer stopped')
        nursery.cancel_scope.cancel()
