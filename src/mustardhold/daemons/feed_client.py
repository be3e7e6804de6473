"""Follows several sources of the feed, and replaces those that fail."""

import trio

from mustardhold.daemons.document_fetching import fetch_documents
from mustardhold.daemons.feed_polls import merge_reply, poll
from mustardhold.daemons.feed_state import CHECK_SECONDS, FeedClient
from mustardhold.systems.feed_tree import rendezvous_rank, retry_pause
from mustardhold.tables.constants import (
    FEED_FIRST_RETRY,
    FEED_MAX_RETRY,
    FEED_RETRY,
    FEED_RETRY_SHARE,
    FEED_STALE_AFTER,
    GROUP_AWAY_PERIOD,
)
from mustardhold.tables.feed import NEVER_CONFIRMED, FeedSource

FIRST_CHECK_SECONDS = 0.02
NEVER = float('-inf')


async def run_feed_client(client: FeedClient) -> None:
    """Follow sources of the feed, and replace those that fail by others."""
    client.started_at = client.clock.monotonic()
    async with trio.open_nursery() as nursery:
        if client.document_sink is not None:
            nursery.start_soon(fetch_documents, client, client.document_sink)
        while True:
            for address in next_addresses(client):
                client.polled.add(address)
                nursery.start_soon(follow_source, client, address)
            await trio.sleep(
                CHECK_SECONDS if is_fed(client) else FIRST_CHECK_SECONDS
            )


def next_addresses(client: FeedClient) -> list[str]:
    """Choose further addresses to poll, named relays first.

    Then come the control instances of the group, of these the ones that have
    not failed for longest. A hash of the process and the address decides
    between equal ones, so that processes spread over the sources.
    """
    now = client.clock.monotonic()
    candidates = [
        address
        for address in addresses_to_try(client, now)
        if address not in client.polled
        and address != client.identity.address
        and is_retry_due(client, now, address)
    ]
    candidates.sort(
        key=lambda address: (
            address not in client.relay_addresses,
            address not in client.current_controls,
            client.failed_at.get(address, NEVER),
            rendezvous_rank(client.identity.name, address),
        )
    )
    return candidates[: count_to_try(client)]


def addresses_to_try(client: FeedClient, now: float) -> set[str]:
    """Return the relays, and the control instances that may be there.

    One that left the group does not answer, and a try takes seconds to fail.
    So a balancer asks those of the group alone, unless all of them are away
    for long: they may have been replaced meanwhile.
    """
    is_control = client.document_sink is None
    current = client.current_controls
    if is_control or not current or is_group_away(client, now):
        return client.known_addresses | client.relay_addresses
    return client.relay_addresses | current


def is_group_away(client: FeedClient, now: float) -> bool:
    """Return whether this process has followed no source for long."""
    away = now - client.source_lost_at
    return (
        not client.sources_by_address
        and away > GROUP_AWAY_PERIOD.total_seconds()
    )


def is_retry_due(client: FeedClient, now: float, address: str) -> bool:
    """Return whether an address that failed may be tried again."""
    failed_at = client.failed_at.get(address, NEVER)
    first = FEED_RETRY if is_fed(client) else FEED_FIRST_RETRY
    outage = failed_at - client.outage_began.get(address, failed_at)
    pause = retry_pause(
        outage if failed_at > NEVER else 0,
        first.total_seconds(),
        f'{client.identity.name}/{address}/{failed_at}',
    )
    return now - failed_at >= pause


def count_to_try(client: FeedClient) -> int:
    """Return how many more addresses to poll until enough have replied.

    A process without tables tries up to twice the limit at the same time,
    because an instance without power takes long to fail. One with tables can
    wait, and spares the sources further snapshots.
    """
    if len(client.sources_by_address) >= sources_needed(client):
        return 0
    tries = client.limit if is_fed(client) else 2 * client.limit
    return max(tries - len(client.polled), 0)


def sources_needed(client: FeedClient) -> int:
    """Return how many sources to follow.

    A process without tables follows one more, as the others may have lost
    their disks. Not all of them: before the first configuration, none has it.
    """
    needs_document = client.document_sink is not None
    if needs_document and not is_fed(client):
        return client.limit + 1
    return client.limit


def is_fed(client: FeedClient) -> bool:
    """Return whether this process has the tables that it needs."""
    if client.document_sink is None:
        return client.has_received
    return client.document_sink.version() > 0


async def follow_source(client: FeedClient, address: str) -> None:
    """Poll a source until it fails, is stale, names others or is surplus."""
    started_at = client.clock.monotonic()
    source = FeedSource()
    cause = 'failed'
    try:
        while True:
            received = await poll(client, address, source)
            if received is None:
                break
            if received.reply.relays:
                client.relay_addresses = set(received.reply.relays)
                cause = 'full'
                break
            add_source(client, address, source)
            merge_reply(client, address, source, received)
            if is_surplus(client):
                cause = 'surplus'
                break
            if is_stale(client, source, started_at):
                cause = 'stale'
                break
    finally:
        release_source(client, address, cause)


def add_source(client: FeedClient, address: str, source: FeedSource) -> None:
    """Record that a source replied."""
    client.outage_began.pop(address, None)
    if address not in client.sources_by_address:
        client.sources_by_address[address] = source
        client.log.info('feed source reached', extra={'address': address})


def is_surplus(client: FeedClient) -> bool:
    """Return whether more sources have replied than are needed."""
    return len(client.sources_by_address) > sources_needed(client)


def is_stale(client: FeedClient, source: FeedSource, started_at: float) -> bool:
    """Return whether a source has not been up to date for too long.

    One that has never been gets that time from when it was first polled. So
    does any source of a process without tables, which takes what it can get.
    """
    confirmed_at = source.confirmed_at
    if confirmed_at == NEVER_CONFIRMED or not is_fed(client):
        confirmed_at = max(confirmed_at, started_at)
    age = client.clock.monotonic() - confirmed_at
    return age > FEED_STALE_AFTER.total_seconds()


def release_source(client: FeedClient, address: str, cause: str) -> None:
    """Stop polling a source.

    One that fails is logged once, until it replies again. A relay that fails
    is forgotten; a control instance will name others.
    """
    now = client.clock.monotonic()
    is_reached = address in client.sources_by_address
    if is_reached:
        client.sources_by_address.pop(address)
        client.source_lost_at = now
    if cause in {'full', 'surplus'}:
        client.log.info(
            'feed source not needed', extra={'address': address, 'cause': cause}
        )
    elif is_reached or address not in client.failed_at:
        client.log.warning(
            'feed source lost',
            extra={
                'address': address,
                'cause': cause,
                'was_reached': is_reached,
            },
        )
    is_relay = address not in client.known_addresses
    if is_relay and cause in {'failed', 'stale'}:
        client.relay_failed_at[address] = now
    client.polled.discard(address)
    client.relay_addresses.discard(address)
    client.failed_at[address] = now
    if cause == 'full':
        # It will be full for a while: the next try waits as after an outage.
        now -= FEED_MAX_RETRY.total_seconds() / FEED_RETRY_SHARE
    client.outage_began.setdefault(address, now)
