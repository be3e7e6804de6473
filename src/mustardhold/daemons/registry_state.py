"""State of a control instance whose servers send reports."""

import functools
import logging
from dataclasses import dataclass
from datetime import timedelta

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.directory_store import DirectoryStore
from mustardhold.adapters.document_store import load_evacuations
from mustardhold.daemons.control_addresses import control_addresses
from mustardhold.daemons.directory_maintenance import (
    DirectorySaver,
    restore_directory,
    wait_saved,
)
from mustardhold.daemons.evacuation_handlers import log_evacuations
from mustardhold.daemons.evidence_handlers import CollectorState
from mustardhold.daemons.feed_handlers import wait_merged
from mustardhold.daemons.feed_publisher import (
    FeedPublisher,
    make_run_id,
    wake_if_changed,
    wake_watchers,
)
from mustardhold.daemons.feed_state import FeedClient, WatcherIdentity
from mustardhold.daemons.replica_node import ReplicaNode, make_node
from mustardhold.daemons.report_logs import log_report
from mustardhold.systems import consensus
from mustardhold.systems.election import majority_size
from mustardhold.systems.fleet_count import (
    count_fleet,
    count_followers,
    hears_majority,
)
from mustardhold.systems.histograms import REPORT_SECONDS, observe
from mustardhold.systems.liveness import receive_report
from mustardhold.tables.constants import (
    FEED_WATCHERS_PER_CONTROL,
    LEAVE_TIMEOUT,
    MAX_REPLICAS,
    SETTLING_PERIOD,
)
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from mustardhold.tables.feed import NEVER_CONFIRMED
from mustardhold.tables.fleet_count import FleetCount
from mustardhold.tables.options import ControlOptions, GrowthPolicy


@dataclass(slots=True)
class RegistryControl:
    """State of a running control instance.

    Attributes
    ----------
    report_interval
        Interval between two reports of a backend server.
    """

    node: ReplicaNode
    report_interval: timedelta
    directory: Directory
    saver: DirectorySaver
    feed: FeedPublisher
    feed_client: FeedClient
    collector_state: CollectorState


def make_control(
    options: ControlOptions,
    growth: GrowthPolicy,
    report_interval: timedelta,
    clock: Clock,
    log: logging.Logger,
) -> RegistryControl:
    """Open the data folder and restore the directory that it holds."""
    node = make_node(options, clock, log, growth)
    directory = Directory()
    store = DirectoryStore(node.disk)
    restored = restore_directory(store, directory, clock.monotonic())
    node.replica.counters['directory', 'unusable'] += store.unusable
    log.info(
        'directory restored',
        extra={'servers': restored, 'unusable': store.unusable},
    )
    feed = FeedPublisher(
        make_run_id(),
        directory,
        lambda: node.replica.configuration,
        functools.partial(confirmed_at, node, clock),
        lambda: control_addresses(node),
        clock,
        FEED_WATCHERS_PER_CONTROL,
        evacuations=lambda: node.replica.evacuations,
        balancers=lambda: known_balancers(fleet, feed, feed_client),
    )
    fleet = FleetCount()
    feed_client = FeedClient(
        WatcherIdentity(
            options.instance_id, options.data_centre, options.http_address
        ),
        directory,
        clock,
        log,
        node.replica.counters,
        MAX_REPLICAS,
        {replica.http_address for replica in options.replicas},
        None,
        functools.partial(log_report, log),
        lambda _: wake_if_changed(feed),
    )
    saver = DirectorySaver(
        store,
        directory,
        lambda: node.replica.configuration,
        lambda: node.replica.evacuations,
        node.error_reporter,
        saved_evacuations=load_evacuations(node.disk).revision,
    )
    collector_state = CollectorState(
        directory,
        clock,
        log,
        node.replica.counters,
        functools.partial(wake_if_changed, feed),
    )
    node.on_applied = functools.partial(handle_applied, node, feed, saver)
    log_evacuations(node)
    return RegistryControl(
        node,
        report_interval,
        directory,
        saver,
        feed,
        feed_client,
        collector_state,
    )


def known_balancers(
    fleet: FleetCount, feed: FeedPublisher, client: FeedClient
) -> int:
    """Return the number of balancers, or 0 if it is not known.

    It is known once the balancers had time to poll, and while this instance
    hears a majority of the group. Without one it does not count either, so
    that the number from before applies for a while when the others return.
    """
    if not hears_majority(feed.controls(), client.sources_by_address):
        return 0
    now = feed.clock.monotonic()
    followers = count_followers(feed.watchers_by_name.values())
    count = count_fleet(
        fleet, now, followers, client.sources_by_address.values()
    )
    is_settled = now - feed.started_at > SETTLING_PERIOD.total_seconds()
    return count if is_settled else 0


def handle_applied(
    node: ReplicaNode, feed: FeedPublisher, saver: DirectorySaver
) -> None:
    """Publish and save what has just come into force."""
    log_evacuations(node)
    wake_watchers(feed)
    saver.requested.set()


def confirmed_at(node: ReplicaNode, clock: Clock) -> float:
    """Return now if the replica is up to date, or else never."""
    now = clock.monotonic()
    if consensus.is_up_to_date(node.replica, now):
        return now
    return NEVER_CONFIRMED


async def share_report(control: RegistryControl, report: ServerReport) -> bool:
    """Merge a backend server's report, and share it if the server is leaving.

    The report of a leaving server may be acknowledged only once a majority of
    the control instances has it, because any of them may fail right after
    that, and once it is on disk here, because all of them may.

    Returns
    -------
    bool
        Whether the report may be acknowledged.
    """
    clock = control.node.clock
    if receive_report(control.directory, clock.monotonic(), report):
        log_report(control.node.log, report)
        wake_if_changed(control.feed)
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
        await wait_merged(control.feed, known.revision, others, needed)
        await wait_saved(control.saver, known.revision)
    key = (REPORT_SECONDS, report.service, report.state.value)
    seconds = clock.monotonic() - started_at
    observe(control.node.observations.histograms_by_key, key, seconds)
    return not scope.cancelled_caught
