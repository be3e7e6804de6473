"""The control process of a deployment whose servers send reports.

It replicates the configuration by consensus among the control instances,
and shares the directory of backend servers with them as soft state.
"""

import functools
import logging
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import (
    HandlersByPath,
    make_app,
)
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.configuration_handlers import (
    CONFIGURATION_PATH,
    handle_forwarded_configuration,
    show_configuration,
)
from mustardhold.daemons.control_addresses import control_addresses
from mustardhold.daemons.directory_maintenance import (
    forget_servers_periodically,
    restore_directory,
    save_directory_changes,
)
from mustardhold.daemons.error_reporting import report_error
from mustardhold.daemons.feed_client import (
    DOCUMENT_PATH,
    FEED_PATH,
    FeedClient,
    run_feed_client,
)
from mustardhold.daemons.feed_handlers import (
    FeedPublisher,
    handle_feed_poll,
    show_document,
    wait_merged,
    wake_if_urgent,
    wake_watchers,
)
from mustardhold.daemons.metrics_server import serve_metrics
from mustardhold.daemons.registry_metrics import collect_metrics
from mustardhold.daemons.replica_handlers import handle_replica_message
from mustardhold.daemons.replica_links import REPLICA_PATH, Links
from mustardhold.daemons.replica_node import (
    ReplicaNode,
    close_node,
    make_node,
    run_replica,
)
from mustardhold.daemons.report_logs import log_report
from mustardhold.daemons.signals import AsyncTask, stop_on_signal
from mustardhold.systems import consensus
from mustardhold.systems.directory import merge_report
from mustardhold.systems.election import majority_size
from mustardhold.systems.histograms import (
    REPORT_SECONDS,
    observe,
)
from mustardhold.tables.constants import (
    LEAVE_TIMEOUT,
    MAX_CONFIGURATION_BYTES,
    MAX_REPLICA_BODY_BYTES,
    MAX_REPLICAS,
)
from mustardhold.tables.directory import (
    Directory,
    ServerReport,
    ServerState,
)
from mustardhold.tables.options import ControlOptions, GrowthPolicy

RUN_ID_BITS = 64


@dataclass(slots=True)
class RegistryControl:
    """State of a running control instance."""

    node: ReplicaNode
    directory: Directory
    feed: FeedPublisher
    feed_client: FeedClient


class PublicHandlers(NamedTuple):
    """HTTP handlers for backend servers and operators, and body limits."""

    handlers: HandlersByPath
    max_bytes_by_path: Mapping[str, int]


class ServedAddresses(NamedTuple):
    """Addresses that a control instance serves besides its internal one."""

    public: str
    metrics: str


def make_control(
    options: ControlOptions,
    growth: GrowthPolicy,
    clock: Clock,
    log: logging.Logger,
) -> RegistryControl:
    """Open the data folder and restore the directory that it holds."""
    node = make_node(options, clock, log, growth)
    directory = Directory()
    restored = restore_directory(node.disk, directory, clock.monotonic())
    log.info('directory restored', extra={'servers': restored})
    feed = FeedPublisher(
        f'{random.getrandbits(RUN_ID_BITS):x}',
        directory,
        lambda: node.replica.configuration,
        lambda: consensus.is_up_to_date(node.replica, clock.monotonic()),
        lambda: control_addresses(node),
        clock,
    )
    feed_client = FeedClient(
        options.instance_id,
        options.http_address,
        directory,
        clock,
        log,
        MAX_REPLICAS,
        {replica.http_address for replica in options.replicas},
        None,
        functools.partial(log_report, log),
        lambda _: wake_if_urgent(feed),
    )
    node.on_applied = functools.partial(wake_watchers, feed)
    return RegistryControl(node, directory, feed, feed_client)


async def share_report(control: RegistryControl, report: ServerReport) -> bool:
    """Merge a backend server's report, and share it if the server is leaving.

    The report of a leaving server may be acknowledged only once a majority of
    the control instances has it: any of them may fail right after that.

    Returns
    -------
    bool
        Whether the report may be acknowledged.
    """
    clock = control.node.clock
    if merge_report(control.directory, clock.monotonic(), report):
        log_report(control.node.log, report)
        wake_if_urgent(control.feed)
    known = control.directory.servers_by_id.get(report.server_id)
    if known is None or report.state is ServerState.READY:
        return True
    others = frozenset(
        member.instance_id
        for member in control.node.replica.members
        if member.instance_id != control.node.replica.local_member.instance_id
    )
    needed = majority_size(control.node.replica) - 1
    started_at = clock.monotonic()
    with trio.move_on_after(LEAVE_TIMEOUT.total_seconds()) as scope:
        await wait_merged(control.feed, known.urgent_revision, others, needed)
    key = (REPORT_SECONDS, report.service, report.state.value)
    seconds = clock.monotonic() - started_at
    observe(control.node.observations.histograms_by_key, key, seconds)
    return not scope.cancelled_caught


def make_internal_handlers(control: RegistryControl) -> HandlersByPath:
    """Make the HTTP handlers for balancers and other control instances."""
    return {
        ('POST', REPLICA_PATH): functools.partial(
            handle_replica_message, control.node
        ),
        ('POST', FEED_PATH): functools.partial(handle_feed_poll, control.feed),
        ('GET', DOCUMENT_PATH): functools.partial(show_document, control.feed),
        ('POST', CONFIGURATION_PATH): functools.partial(
            handle_forwarded_configuration, control.node
        ),
        ('GET', CONFIGURATION_PATH): functools.partial(
            show_configuration, control.node
        ),
    }


async def run_registry_control(
    control: RegistryControl,
    public_handlers: PublicHandlers,
    addresses: ServedAddresses,
    watch_settings: AsyncTask,
) -> None:
    """Run a control instance until a signal stops it or a step fails.

    Parameters
    ----------
    public_handlers
        Handlers for backend servers and operators, at the public address.
    watch_settings
        Task that applies changed settings.

    Raises
    ------
    Exception
        The error that made a step fail.
    """
    node = control.node
    report_http_error = functools.partial(
        report_error, node.error_reporter, 'http-failed'
    )
    public = make_app(
        public_handlers.handlers,
        public_handlers.max_bytes_by_path,
        report_http_error,
    )
    internal = make_app(
        make_internal_handlers(control),
        {
            REPLICA_PATH: MAX_REPLICA_BODY_BYTES,
            CONFIGURATION_PATH: 2 * MAX_CONFIGURATION_BYTES,
        },
        on_error=report_http_error,
    )
    async with trio.open_nursery() as nursery:
        node.links = Links(
            node.http_client, nursery, node.replica.counters, node.log
        )
        nursery.start_soon(stop_on_signal, node.stopping)
        nursery.start_soon(run_replica, node)
        nursery.start_soon(run_feed_client, control.feed_client)
        nursery.start_soon(
            forget_servers_periodically, control.directory, node.clock
        )
        nursery.start_soon(
            save_directory_changes,
            node.disk,
            control.directory,
            node.error_reporter,
        )
        nursery.start_soon(watch_settings)
        node.log.info(
            'control started',
            extra={'version': node.replica.configuration.version},
        )
        async with trio.open_nursery() as serving:
            serving.start_soon(
                serve_http, internal, node.options.http_address, node.stopping
            )
            serving.start_soon(
                serve_http, public, addresses.public, node.stopping
            )
            serving.start_soon(
                serve_metrics,
                addresses.metrics,
                functools.partial(collect_metrics, node, control.directory),
                node.stopping,
            )
        node.log.info('control stopped')
        nursery.cancel_scope.cancel()
    close_node(node)
    if node.failure is not None:
        raise node.failure
