"""The control process: commits edits and serves the routing table."""

import functools
import logging

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import (
    Application,
    HandlerRequest,
    Reply,
    make_app,
)
from mustardhold.adapters.http_server import serve_http
from mustardhold.adapters.metrics import render_metrics
from mustardhold.daemons.control_edits import handle_edit, handle_replacement
from mustardhold.daemons.control_handlers import (
    show_explanation,
    show_status,
    show_table,
)
from mustardhold.daemons.error_reporting import report_error
from mustardhold.daemons.replica_handlers import handle_replica_message
from mustardhold.daemons.replica_links import REPLICA_PATH, Links
from mustardhold.daemons.replica_node import (
    ReplicaNode,
    close_node,
    make_node,
    run_replica,
)
from mustardhold.daemons.signals import stop_on_signal
from mustardhold.daemons.table_handlers import show_changes
from mustardhold.systems.control_gauges import control_gauges
from mustardhold.tables.constants import MAX_REPLICA_BODY_BYTES
from mustardhold.tables.options import ControlOptions


async def show_metrics(node: ReplicaNode, _: HandlerRequest) -> Reply:
    """Respond with the replica's metrics."""
    return render_metrics(
        node.replica.counters,
        node.observations.histograms_by_key,
        control_gauges(node.replica, node.clock.monotonic()),
    )


def make_control_app(node: ReplicaNode) -> Application:
    """Make the HTTP application of a control replica."""
    return make_app(
        {
            ('POST', '/edits'): functools.partial(handle_edit, node),
            ('POST', REPLICA_PATH): functools.partial(
                handle_replica_message, node
            ),
            ('POST', '/replicas'): functools.partial(handle_replacement, node),
            ('GET', '/table'): functools.partial(show_table, node),
            ('GET', '/changes'): functools.partial(
                show_changes, node.table_publisher
            ),
            ('GET', '/status'): functools.partial(show_status, node),
            ('GET', '/explain'): functools.partial(show_explanation, node),
            ('GET', '/metrics'): functools.partial(show_metrics, node),
        },
        on_error=functools.partial(
            report_error, node.error_reporter, 'http-failed'
        ),
        max_bytes_by_path={REPLICA_PATH: MAX_REPLICA_BODY_BYTES},
    )


async def run_control(
    options: ControlOptions, clock: Clock, log: logging.Logger
) -> None:
    """Run a control replica until a signal stops it or a step fails.

    Raises
    ------
    Exception
        The error that made a step fail, in most cases one of the data folder.
    """
    node = make_node(options, clock, log)
    async with trio.open_nursery() as nursery:
        node.links = Links(
            node.http_client, nursery, node.replica.counters, log
        )
        nursery.start_soon(stop_on_signal, node.stopping)
        nursery.start_soon(run_replica, node)
        log.info(
            'control started',
            extra={'edits': node.replica.edits.table.version},
        )
        await serve_http(
            make_control_app(node), options.http_address, node.stopping
        )
        log.info('control stopped')
        nursery.cancel_scope.cancel()
    close_node(node)
    if node.failure is not None:
        raise node.failure
