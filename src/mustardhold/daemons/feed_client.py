"""Follows what control instances tell, several of them at once."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio
import xxhash

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    send_request,
)
from mustardhold.systems.directory import merge_rows
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.constants import (
    DOCUMENT_TIMEOUT,
    FEED_FIRST_RETRY,
    FEED_MARGIN,
    FEED_RETRY,
    FEED_STALE_AFTER,
    FEED_WAIT,
)
from mustardhold.tables.directory import Directory, ServerReport
from mustardhold.tables.feed import FeedReply, FeedRequest
from mustardhold.tables.outcomes import Err

FEED_PATH = '/feed'
DOCUMENT_PATH = '/document'
NEVER_NEWER = 2**62
CHECK_SECONDS = 0.1
FIRST_CHECK_SECONDS = 0.02
POLL_SECONDS = (FEED_WAIT + FEED_MARGIN).total_seconds()

_reply_decoder = msgspec.json.Decoder(FeedReply)
_document_decoder = msgspec.msgpack.Decoder(VersionedDocument)


@dataclass(frozen=True, slots=True)
class DocumentSink:
    """Takes configurations.

    Attributes
    ----------
    version
        Returns the version that the process has.
    take
        Takes a newer configuration.
    """

    version: Callable[[], int]
    install: Callable[[VersionedDocument], None]


@dataclass(slots=True)
class FeedClient:
    """Whom a process watches, and what becomes of what it hears.

    Attributes
    ----------
    name
        This process, as the watched ones know it.
    contacts
        Internal addresses of control instances.
    limit
        Control instances to watch at the same time.
    watched, reached
        Those that are asked now, and those of them that have answered.
    documents
        Where newer configurations go; none where they come otherwise.
    on_report
        Learns of each report that was new.
    on_reply
        Learns of each reply, after it was merged.
    failed_at
        When an address last failed; local clock.
    has_received
        Whether any has ever answered.
    newest_version, newest_source
        Newest version that was heard of, and who told.
    heard
        Set once there is a newer version to fetch.
    """

    name: str
    local_address: str
    directory: Directory
    clock: Clock
    log: logging.Logger
    limit: int
    known_addresses: set[str]
    document_sink: DocumentSink | None
    on_report: Callable[[ServerReport], None]
    on_reply: Callable[[FeedReply], None]
    http_client: HttpClient = field(default_factory=HttpClient)
    polled: set[str] = field(default_factory=set)
    reached: set[str] = field(default_factory=set)
    failed_at: dict[str, float] = field(default_factory=dict)
    has_received: bool = False
    newest_version: int = 0
    newest_source: str = ''
    update_found: trio.Event = field(default_factory=trio.Event)


async def run_feed_client(client: FeedClient) -> None:
    """Keep watching as many control instances as wanted."""
    async with trio.open_nursery() as nursery:
        if client.document_sink is not None:
            nursery.start_soon(fetch_documents, client, client.document_sink)
        while True:
            for address in next_addresses(client):
                client.polled.add(address)
                nursery.start_soon(follow_control, client, address)
            await trio.sleep(
                CHECK_SECONDS if client.has_received else FIRST_CHECK_SECONDS
            )


def next_addresses(client: FeedClient) -> list[str]:
    """Choose whom to watch besides those that are watched."""
    now = client.clock.monotonic()
    retry_interval = FEED_RETRY if client.has_received else FEED_FIRST_RETRY
    candidates = [
        address
        for address in client.known_addresses - client.polled
        if address != client.local_address
        and now - client.failed_at.get(address, float('-inf'))
        >= retry_interval.total_seconds()
    ]
    candidates.sort(
        key=lambda address: (
            client.failed_at.get(address, float('-inf')),
            xxhash.xxh3_64_intdigest(f'{client.name}/{address}'.encode()),
        )
    )
    return candidates[: count_to_try(client)]


def count_to_try(client: FeedClient) -> int:
    """Count how many more to try while fewer answer than are wanted.

    Some may be without power, and then take long to fail.
    """
    if len(client.reached) >= client.limit:
        return 0
    return max(2 * client.limit - len(client.polled), 0)


async def follow_control(client: FeedClient, address: str) -> None:
    """Follow one control instance until it fails or is out of date."""
    run_id, after = '', 0
    current_at = client.clock.monotonic()
    try:
        while True:
            query = FeedRequest(
                client.name, run_id, after, wake_version(client)
            )
            reply = await poll(client, address, query)
            if reply is None:
                break
            if address not in client.reached:
                client.reached.add(address)
                client.log.info('control reached', extra={'address': address})
            merge_reply(client, address, reply)
            if len(client.reached) > client.limit:
                client.log.info(
                    'control not needed', extra={'address': address}
                )
                break
            run_id, after = reply.run_id, reply.revision
            now = client.clock.monotonic()
            current_at = now if reply.is_current else current_at
            if now - current_at > FEED_STALE_AFTER.total_seconds():
                break
    finally:
        release_address(client, address)


def release_address(client: FeedClient, address: str) -> None:
    """Note that nobody watches a control instance any more.

    One that failed is logged once, until it answers again.
    """
    is_surplus = len(client.reached) > client.limit
    is_reached = address in client.reached
    client.reached.discard(address)
    if not is_surplus and (is_reached or address not in client.failed_at):
        client.log.warning(
            'control lost',
            extra={'address': address, 'was_reached': is_reached},
        )
    client.polled.discard(address)
    client.failed_at[address] = client.clock.monotonic()


async def poll(
    client: FeedClient, address: str, query: FeedRequest
) -> FeedReply | None:
    """Ask a control instance once; it may not answer."""
    request = HttpRequest(
        'POST', address, FEED_PATH, msgspec.json.encode(query)
    )
    response = await send_request(client.http_client, request, POLL_SECONDS)
    if isinstance(response, Err) or not response.value.is_success:
        return None
    try:
        return _reply_decoder.decode(response.value.body)
    except msgspec.DecodeError as error:
        client.log.warning(
            'control answered nonsense',
            extra={'address': address, 'error': str(error)},
        )
        return None


def wake_version(client: FeedClient) -> int:
    """Choose above which version the watched one has to wake this process.

    One that is being fetched already must not end each poll at once.
    """
    if client.document_sink is None:
        return NEVER_NEWER
    return max(client.document_sink.version(), client.newest_version)


def merge_reply(client: FeedClient, address: str, reply: FeedReply) -> None:
    """Merge what a control instance told."""
    client.has_received = True
    client.known_addresses.update(reply.controls)
    now = client.clock.monotonic()
    for report in merge_rows(client.directory, now, reply.rows):
        client.on_report(report)
    if reply.version > wake_version(client):
        client.newest_version = reply.version
        client.newest_source = address
        client.update_found.set()
    client.on_reply(reply)


async def fetch_documents(client: FeedClient, sink: DocumentSink) -> None:
    """Fetch each newer configuration once, apart from the polls.

    A large one takes seconds on a thin link; what is told of servers must
    not wait for it.
    """
    while True:
        await client.update_found.wait()
        client.update_found = trio.Event()
        while client.newest_version > sink.version():
            if not await fetch_document(client, sink, client.newest_source):
                # The next poll tells again who has a newer one.
                client.newest_version = sink.version()
                await trio.sleep(CHECK_SECONDS)


async def fetch_document(
    client: FeedClient, sink: DocumentSink, address: str
) -> bool:
    """Fetch the configuration that a control instance has in force.

    Returns
    -------
    bool
        Whether it was newer than what the process had.
    """
    request = HttpRequest('GET', address, DOCUMENT_PATH)
    seconds = DOCUMENT_TIMEOUT.total_seconds()
    response = await send_request(client.http_client, request, seconds)
    reason = 'was refused'
    if isinstance(response, Err):
        reason = response.error.reason
    elif response.value.is_success:
        before = sink.version()
        try:
            sink.install(_document_decoder.decode(response.value.body))
        except msgspec.DecodeError as error:
            reason = str(error)
        else:
            return sink.version() > before
    client.log.warning(
        'configuration not fetched',
        extra={'address': address, 'reason': reason},
    )
    return False
