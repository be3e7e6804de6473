"""The control process of a deployment whose servers send reports.

It replicates the configuration by consensus among the control instances,
and shares the directory of backend servers with them as soft state.
"""

import functools
import socket
from collections.abc import Mapping
from typing import NamedTuple

import trio

from mustardhold.adapters.http_app import HandlersByPath, make_app
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.configuration_handlers import (
    CONFIGURATION_PATH,
    handle_forwarded_configuration,
    show_configuration,
)
from mustardhold.daemons.directory_maintenance import (
    find_silent_periodically,
    forget_servers_periodically,
    save_periodically,
)
from mustardhold.daemons.early_feed import EarlyFeed, stop_early_feed
from mustardhold.daemons.error_reporting import report_error
from mustardhold.daemons.evacuation_handlers import (
    handle_order,
    show_evacuations,
)
from mustardhold.daemons.evidence_handlers import (
    end_suspicions_periodically,
    handle_evidence,
)
from mustardhold.daemons.feed_client import run_feed_client
from mustardhold.daemons.feed_handlers import make_feed_handlers
from mustardhold.daemons.feed_publisher import wake_if_changed
from mustardhold.daemons.metrics_server import serve_metrics
from mustardhold.daemons.registry_metrics import collect_metrics
from mustardhold.daemons.registry_state import RegistryControl
from mustardhold.daemons.replica_handlers import handle_replica_message
from mustardhold.daemons.replica_links import REPLICA_PATH, Links
from mustardhold.daemons.replica_node import close_node, run_replica
from mustardhold.daemons.signals import AsyncTask, stop_on_signal
from mustardhold.systems.directory import forget_servers
from mustardhold.tables.constants import (
    MAX_CONFIGURATION_BYTES,
    MAX_REPLICA_BODY_BYTES,
)
from mustardhold.tables.evacuations import EVACUATIONS_PATH
from mustardhold.tables.server_evidence import EVIDENCE_PATH


class PublicHandlers(NamedTuple):
    """HTTP handlers for backend servers and operators, and body limits."""

    handlers: HandlersByPath
    max_bytes_by_path: Mapping[str, int]


class ServedAddresses(NamedTuple):
    """Addresses that a control instance serves besides its internal one."""

    public: str
    metrics: str


def make_internal_handlers(control: RegistryControl) -> HandlersByPath:
    """Make the HTTP handlers for balancers and other control instances."""
    return {
        ('POST', REPLICA_PATH): functools.partial(
            handle_replica_message, control.node
        ),
        **make_feed_handlers(control.feed),
        ('POST', CONFIGURATION_PATH): functools.partial(
            handle_forwarded_configuration, control.node
        ),
        ('GET', CONFIGURATION_PATH): functools.partial(
            show_configuration, control.node
        ),
        ('POST', EVIDENCE_PATH): functools.partial(
            handle_evidence, control.collector_state
        ),
        ('POST', EVACUATIONS_PATH): functools.partial(
            handle_order, control.node
        ),
        ('GET', EVACUATIONS_PATH): functools.partial(
            show_evacuations, control.node
        ),
    }


def take_over_listener(
    control: RegistryControl, early_feed: EarlyFeed | None
) -> socket.socket | None:
    """Stop the early feed, if any, and return its listening socket."""
    if early_feed is None:
        return None
    listener = stop_early_feed(early_feed)
    control.node.log.info(
        'early feed ended', extra={'answered': early_feed.answered}
    )
    return listener


def start_directory_tasks(
    control: RegistryControl, nursery: trio.Nursery
) -> None:
    """Start the tasks that keep the directory shared, saved and current."""
    node = control.node
    nursery.start_soon(run_feed_client, control.feed_client)
    nursery.start_soon(
        forget_servers_periodically,
        control.directory,
        node.clock,
        forget_servers,
    )
    nursery.start_soon(
        find_silent_periodically,
        control.directory,
        node.clock,
        control.report_interval,
        functools.partial(wake_if_changed, control.feed),
    )
    nursery.start_soon(save_periodically, control.saver)
    nursery.start_soon(end_suspicions_periodically, control.collector_state)


async def run_registry_control(
    control: RegistryControl,
    public_handlers: PublicHandlers,
    addresses: ServedAddresses,
    watch_settings: AsyncTask,
    early_feed: EarlyFeed | None,
) -> None:
    """Run a control instance until a signal stops it or a step fails.

    Parameters
    ----------
    public_handlers
        Handlers for backend servers and operators, at the public address.
    watch_settings
        Task that applies changed settings.
    early_feed
        Server that has answered polls at the internal address until now.

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
        start_directory_tasks(control, nursery)
        nursery.start_soon(watch_settings)
        node.log.info(
            'control started',
            extra={'version': node.replica.configuration.version},
        )
        async with trio.open_nursery() as serving:
            serving.start_soon(
                serve_http,
                internal,
                node.options.http_address,
                node.stopping,
                take_over_listener(control, early_feed),
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
