"""Applies the feed to the tables of a balancer that forwards by tokens."""

import functools

from mustardhold.daemons.feed_publisher import wake_if_changed, wake_watchers
from mustardhold.daemons.packet_loop import handle_guarded
from mustardhold.daemons.token_packets import TokenBalancer, handle_datagram
from mustardhold.systems.directory import whole_milliseconds
from mustardhold.systems.evacuation import install_evacuations
from mustardhold.systems.fleet_count import newest_count
from mustardhold.systems.startup_queue import pop_held_packets
from mustardhold.systems.token_forwarding import (
    configuration_version,
    install_configuration,
    is_ready,
)
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.feed import ReceivedReply
from mustardhold.tables.outcomes import Err


def install_document(
    balancer: TokenBalancer, document: VersionedDocument
) -> None:
    """Parse a configuration and install it if it is newer.

    One that is invalid is counted and logged; the current one stays. A control
    instance that has just lost its disk may send none at all.
    """
    if document.version <= configuration_version(balancer.tables):
        return
    read = balancer.codecs.configuration(document)
    if isinstance(read, Err):
        balancer.tables.counters['', 'configuration-unreadable'] += 1
        balancer.log.error(
            'configuration is invalid',
            extra={
                'version': document.version,
                'findings': [str(finding) for finding in read.error],
            },
        )
        return
    if install_configuration(balancer.tables, read.value):
        balancer.document = document
        wake_watchers(balancer.feed)
        balancer.log.info(
            'configuration in force', extra={'version': document.version}
        )
        release_held_packets(balancer)


def handle_feed_reply(balancer: TokenBalancer, received: ReceivedReply) -> None:
    """Record as of when the version in force is known to be the latest.

    Then release the held packets if the tables are complete.
    """
    tables = balancer.tables
    receive_evacuations(balancer, received)
    tables.cold_limits.balancers = newest_count(
        balancer.feed_client.sources_by_address.values(),
        tables.cold_limits.balancers,
    )
    if received.reply.version <= configuration_version(tables):
        tables.last_feed_at = max(tables.last_feed_at, received.confirmed_at)
    wake_if_changed(balancer.feed)
    release_held_packets(balancer)


def receive_evacuations(
    balancer: TokenBalancer, received: ReceivedReply
) -> None:
    """Install the evacuated data centres of a reply, and log a change.

    A reply that was held up on its way may carry an older state, which is
    ignored.
    """
    state = received.reply.evacuations
    if state is None:
        return
    known_revision = balancer.tables.evacuations.revision
    install_evacuations(balancer.tables, state)
    if balancer.tables.evacuations.revision == known_revision:
        return
    wake_watchers(balancer.feed)
    age = balancer.clock.monotonic() - received.made_at
    balancer.log.info(
        'evacuated data centres changed',
        extra={
            'revision': state.revision,
            'evacuated': [one.name for one in state.data_centres],
            'reply_ms_ago': whole_milliseconds(age),
        },
    )


def release_held_packets(balancer: TokenBalancer) -> None:
    """Handle the held packets once the first tables have arrived."""
    if not balancer.tables.held_by_key or not is_ready(balancer.tables):
        return
    held = pop_held_packets(balancer.tables, balancer.clock.monotonic())
    balancer.log.info('held packets released', extra={'packets': len(held)})
    handle = functools.partial(handle_datagram, balancer)
    for raw in held:
        handle_guarded(handle, raw, balancer.error_reporter)
