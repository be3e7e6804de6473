"""Polls one source of the feed, and merges its replies."""

from collections.abc import Iterator

import msgspec

from mustardhold.adapters.http_client import HttpRequest, send_request
from mustardhold.daemons.feed_state import FeedClient
from mustardhold.systems.directory import (
    drop_unconfirmed,
    merge_rows,
    token_of,
    whole_milliseconds,
)
from mustardhold.systems.fleet_count import part_for_source
from mustardhold.systems.liveness import (
    agree_on_silent,
    refresh_heard,
    update_silent,
)
from mustardhold.systems.report_checks import find_report_errors
from mustardhold.systems.suspicions import merge_suspects
from mustardhold.tables.constants import (
    FEED_MARGIN,
    FEED_SNAPSHOT_TIMEOUT,
    FEED_WAIT,
    RELAY_FAILURE_PERIOD,
    SETTLING_PERIOD,
)
from mustardhold.tables.directory import Directory, DirectoryRow
from mustardhold.tables.feed import (
    FEED_PATH,
    NEVER_NEWER,
    FeedReply,
    FeedRequest,
    FeedSource,
    ReceivedReply,
)
from mustardhold.tables.outcomes import Err

FIRST_POLL_SECONDS = FEED_SNAPSHOT_TIMEOUT.total_seconds()
POLL_SECONDS = (FEED_WAIT + FEED_MARGIN).total_seconds()

_reply_decoder = msgspec.json.Decoder(FeedReply)


async def poll(
    client: FeedClient, address: str, source: FeedSource
) -> ReceivedReply | None:
    """Send one poll; return ``None`` without a valid reply."""
    identity = client.identity
    query = FeedRequest(
        identity.name,
        source.position,
        wake_version(client),
        is_control=client.document_sink is None,
        address=identity.address if identity.serves_feed else '',
        data_centre=identity.data_centre,
        confirmed_ms=age_of_tables(client),
        failed_relays=failed_relays(client),
        evacuation_revision=client.evacuation_revision(),
        balancers=part_for_source(
            client.followers(), len(client.sources_by_address)
        ),
    )
    request = HttpRequest(
        'POST', address, FEED_PATH, msgspec.json.encode(query)
    )
    sent_at = client.clock.monotonic()
    seconds = POLL_SECONDS if source.position.run_id else FIRST_POLL_SECONDS
    response = await send_request(client.http_client, request, seconds)
    if isinstance(response, Err) or not response.value.is_success:
        return None
    try:
        reply = _reply_decoder.decode(response.value.body)
    except msgspec.DecodeError as error:
        client.counters['feed', 'malformed'] += 1
        client.log.warning(
            'feed reply is malformed',
            extra={'address': address, 'error': str(error)},
        )
        return None
    return ReceivedReply(reply, sent_at + reply.held_ms / 1000)


def age_of_tables(client: FeedClient) -> int | None:
    """Return the age of the process's own state in ms, if it is known."""
    if client.document_sink is None:
        return None
    age = client.clock.monotonic() - client.document_sink.confirmed_at()
    return None if age == float('inf') else whole_milliseconds(age)


def failed_relays(client: FeedClient) -> tuple[str, ...]:
    """Return the relays that lately failed, and forget earlier failures."""
    oldest = client.clock.monotonic() - RELAY_FAILURE_PERIOD.total_seconds()
    client.relay_failed_at = {
        address: failed_at
        for address, failed_at in client.relay_failed_at.items()
        if failed_at > oldest
    }
    return tuple(client.relay_failed_at)


def wake_version(client: FeedClient) -> int:
    """Return the version above which a poll must return immediately.

    A version that is being fetched already must not end every poll.
    """
    if client.document_sink is None:
        return NEVER_NEWER
    return max(client.document_sink.version(), client.newest_version)


def merge_reply(
    client: FeedClient,
    address: str,
    source: FeedSource,
    received: ReceivedReply,
) -> None:
    """Merge the servers and control addresses that a reply names.

    If it names a newer configuration, wake ``fetch_documents``.
    """
    reply = received.reply
    client.has_received = True
    if reply.controls:
        learn_controls(client, source, reply.controls)
    new_reports = merge_rows(
        client.directory,
        received.made_at,
        usable_rows(client, address, reply.rows),
        is_settled=is_settled(client),
    )
    for report in new_reports:
        client.on_report(report)
    if client.document_sink is None:
        refresh_heard(client.directory, received.made_at, reply.heard)
    merge_suspects(
        client.directory.suspicions,
        client.clock.monotonic(),
        received.made_at,
        reply.suspects,
    )
    update_source(client.directory, source, received)
    if client.document_sink is not None:
        silent = agree_on_silent(
            client.sources_by_address.values(),
            client.clock.monotonic(),
            client.directory.silent_tokens,
        )
        update_silent(client.directory, silent)
    if reply.version > wake_version(client):
        client.newest_version = reply.version
        client.newest_source = address
        client.update_found.set()
    client.on_reply(received)


def learn_controls(
    client: FeedClient, source: FeedSource, controls: tuple[str, ...]
) -> None:
    """Learn the group's control instances, as the current sources name them.

    One source may lag behind a change of the group, so each is believed.
    """
    source.controls = frozenset(controls)
    client.known_addresses.update(controls)
    client.current_controls = source.controls.union(
        *(one.controls for one in client.sources_by_address.values())
    )


def usable_rows(
    client: FeedClient, address: str, rows: tuple[DirectoryRow, ...]
) -> Iterator[DirectoryRow]:
    """Yield the rows that may be merged; count and log the others.

    A process of an earlier version may have accepted a report that this one
    would refuse.
    """
    for row in rows:
        findings = tuple(find_report_errors(row.report))
        if not findings:
            yield row
            continue
        client.counters['feed', 'row-unusable'] += 1
        client.log.warning(
            'feed row is unusable',
            extra={
                'address': address,
                'server': row.report.server_id,
                'findings': [str(one) for one in findings],
            },
        )


def is_settled(client: FeedClient) -> bool:
    """Return whether this process would know each server that reports."""
    age = client.clock.monotonic() - client.started_at
    return age > SETTLING_PERIOD.total_seconds()


def update_source(
    directory: Directory, source: FeedSource, received: ReceivedReply
) -> None:
    """Update what is known of a source from its reply."""
    reply = received.reply
    named = {token_of(row.report) for row in reply.rows}
    if reply.position.run_id == source.position.run_id:
        source.missing -= named
    else:
        if reply.is_settled:
            drop_unconfirmed(
                directory, {row.report.server_id for row in reply.rows}
            )
        source.missing = frozenset(directory.servers_by_token) - named
    if reply.silent is not None:
        source.silent = frozenset(reply.silent)
    source.position = reply.position
    source.version = reply.version
    source.balancers = reply.balancers
    source.confirmed_at = max(source.confirmed_at, received.confirmed_at)
