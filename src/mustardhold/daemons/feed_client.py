"""Long-polls several control instances for servers and configurations."""

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
    """Receives the configurations that the client fetches.

    Attributes
    ----------
    version
        Returns the current version of the process.
    install
        Installs a newer configuration.
    """

    version: Callable[[], int]
    install: Callable[[VersionedDocument], None]


@dataclass(slots=True)
class FeedClient:
    """State of the polls that a process sends to control instances.

    Attributes
    ----------
    name
        Name of this process in its polls.
    local_address
        Address of this process itself, which it does not poll.
    limit
        Number of control instances to follow; no others are polled once that
        many have replied.
    known_addresses
        Internal addresses of all known control instances.
    document_sink
        Receives newer configurations; ``None`` if the process gets them by
        other means.
    on_report
        Called with each report that was new.
    on_reply
        Called with each reply after it was merged.
    polled, reached
        Addresses that are being polled, and those of them that have replied.
    failed_at
        When an address last failed or was released; local clock.
    has_received
        Whether any control instance has ever replied.
    newest_version, newest_source
        Newest version that a reply named, and the address that it came from.
    update_found
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
    """Poll control instances, and replace those that fail by others."""
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
    """Choose further addresses to poll, the longest without a failure first.

    A hash of the process and the address decides between equal ones, so that
    processes spread over the control instances.
    """
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
    """Return how many more addresses to poll until enough have replied.

    Up to twice the limit are tried at the same time, because an instance
    without power takes long to fail.
    """
    if len(client.reached) >= client.limit:
        return 0
    return max(2 * client.limit - len(client.polled), 0)


async def follow_control(client: FeedClient, address: str) -> None:
    """Poll a control instance until it fails, is stale or is not needed."""
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
    """Stop polling a control instance.

    One that fails is logged once, until it replies again.
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
    """Send one poll; return ``None`` without a valid reply."""
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
            'control reply is malformed',
            extra={'address': address, 'error': str(error)},
        )
        return None


def wake_version(client: FeedClient) -> int:
    """Return the version above which a poll must return immediately.

    A version that is being fetched already must not end every poll.
    """
    if client.document_sink is None:
        return NEVER_NEWER
    return max(client.document_sink.version(), client.newest_version)


def merge_reply(client: FeedClient, address: str, reply: FeedReply) -> None:
    """Merge the servers and control addresses that a reply names.

    If it names a newer configuration, wake ``fetch_documents``.
    """
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

    A large one takes seconds on a slow link; changes of servers must not
    wait for it.
    """
    while True:
        await client.update_found.wait()
        client.update_found = trio.Event()
        while client.newest_version > sink.version():
            if not await fetch_document(client, sink, client.newest_source):
                # The next poll finds the newer version and its source again.
                client.newest_version = sink.version()
                await trio.sleep(CHECK_SECONDS)


async def fetch_document(
    client: FeedClient, sink: DocumentSink, address: str
) -> bool:
    """Fetch the current configuration of a control instance and install it.

    Returns
    -------
    bool
        Whether it was newer than the one that the process had.
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
