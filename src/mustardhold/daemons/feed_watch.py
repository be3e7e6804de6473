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
from mustardhold.systems.directory import take_rows
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.constants import (
    DOCUMENT_TIMEOUT,
    FEED_FIRST_RETRY,
    FEED_MARGIN,
    FEED_RETRY,
    FEED_STALE,
    FEED_WAIT,
)
from mustardhold.tables.directory import Directory, ServerReport
from mustardhold.tables.feed import FeedAsk, FeedReply
from mustardhold.tables.outcomes import Err

FEED_PAGE = '/feed'
DOCUMENT_PAGE = '/document'
ANY_VERSION = 2**62
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
    take: Callable[[VersionedDocument], None]


@dataclass(slots=True)
class FeedWatch:
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
    note_report
        Learns of each report that was new.
    note_reply
        Learns of each reply, after it was merged.
    failed_at
        When an address last failed; local clock.
    is_fed
        Whether any has ever answered.
    newest_version, newest_at
        Newest version that was heard of, and who told.
    heard
        Set once there is a newer version to fetch.
    """

    name: str
    own_address: str
    directory: Directory
    clock: Clock
    log: logging.Logger
    limit: int
    contacts: set[str]
    documents: DocumentSink | None
    note_report: Callable[[ServerReport], None]
    note_reply: Callable[[FeedReply], None]
    client: HttpClient = field(default_factory=HttpClient)
    watched: set[str] = field(default_factory=set)
    reached: set[str] = field(default_factory=set)
    failed_at: dict[str, float] = field(default_factory=dict)
    is_fed: bool = False
    newest_version: int = 0
    newest_at: str = ''
    heard: trio.Event = field(default_factory=trio.Event)


async def run_watch(watch: FeedWatch) -> None:
    """Keep watching as many control instances as wanted."""
    async with trio.open_nursery() as nursery:
        if watch.documents is not None:
            nursery.start_soon(fetch_documents, watch, watch.documents)
        while True:
            for address in next_contacts(watch):
                watch.watched.add(address)
                nursery.start_soon(watch_control, watch, address)
            await trio.sleep(
                CHECK_SECONDS if watch.is_fed else FIRST_CHECK_SECONDS
            )


def next_contacts(watch: FeedWatch) -> list[str]:
    """Choose whom to watch besides those that are watched."""
    now = watch.clock.monotonic()
    pause = FEED_RETRY if watch.is_fed else FEED_FIRST_RETRY
    free = [
        address
        for address in watch.contacts - watch.watched
        if address != watch.own_address
        and now - watch.failed_at.get(address, float('-inf'))
        >= pause.total_seconds()
    ]
    free.sort(
        key=lambda address: (
            watch.failed_at.get(address, float('-inf')),
            xxhash.xxh3_64_intdigest(f'{watch.name}/{address}'.encode()),
        )
    )
    return free[: count_to_try(watch)]


def count_to_try(watch: FeedWatch) -> int:
    """Count how many more to try while fewer answer than are wanted.

    Some may be without power, and then take long to fail.
    """
    if len(watch.reached) >= watch.limit:
        return 0
    return max(2 * watch.limit - len(watch.watched), 0)


async def watch_control(watch: FeedWatch, address: str) -> None:
    """Follow one control instance until it fails or is out of date."""
    run_id, after = '', 0
    current_at = watch.clock.monotonic()
    try:
        while True:
            ask = FeedAsk(watch.name, run_id, after, version_to_ask(watch))
            reply = await poll(watch, address, ask)
            if reply is None:
                break
            if address not in watch.reached:
                watch.reached.add(address)
                watch.log.info('control reached', extra={'address': address})
            take_reply(watch, address, reply)
            if len(watch.reached) > watch.limit:
                watch.log.info('control not needed', extra={'address': address})
                break
            run_id, after = reply.run_id, reply.revision
            now = watch.clock.monotonic()
            current_at = now if reply.is_current else current_at
            if now - current_at > FEED_STALE.total_seconds():
                break
    finally:
        note_left(watch, address)


def note_left(watch: FeedWatch, address: str) -> None:
    """Note that nobody watches a control instance any more.

    One that failed is logged once, until it answers again.
    """
    is_spare = len(watch.reached) > watch.limit
    is_reached = address in watch.reached
    watch.reached.discard(address)
    if not is_spare and (is_reached or address not in watch.failed_at):
        watch.log.warning(
            'control lost',
            extra={'address': address, 'was_reached': is_reached},
        )
    watch.watched.discard(address)
    watch.failed_at[address] = watch.clock.monotonic()


async def poll(
    watch: FeedWatch, address: str, ask: FeedAsk
) -> FeedReply | None:
    """Ask a control instance once; it may not answer."""
    request = HttpRequest('POST', address, FEED_PAGE, msgspec.json.encode(ask))
    asked = await send_request(watch.client, request, POLL_SECONDS)
    if isinstance(asked, Err) or not asked.value.is_success:
        return None
    try:
        return _reply_decoder.decode(asked.value.body)
    except msgspec.DecodeError as error:
        watch.log.warning(
            'control answered nonsense',
            extra={'address': address, 'error': str(error)},
        )
        return None


def version_to_ask(watch: FeedWatch) -> int:
    """Choose above which version the watched one has to wake this process.

    One that is being fetched already must not end each poll at once.
    """
    if watch.documents is None:
        return ANY_VERSION
    return max(watch.documents.version(), watch.newest_version)


def take_reply(watch: FeedWatch, address: str, reply: FeedReply) -> None:
    """Merge what a control instance told."""
    watch.is_fed = True
    watch.contacts.update(reply.controls)
    now = watch.clock.monotonic()
    for report in take_rows(watch.directory, now, reply.rows):
        watch.note_report(report)
    if reply.version > version_to_ask(watch):
        watch.newest_version = reply.version
        watch.newest_at = address
        watch.heard.set()
    watch.note_reply(reply)


async def fetch_documents(watch: FeedWatch, sink: DocumentSink) -> None:
    """Fetch each newer configuration once, apart from the polls.

    A large one takes seconds on a thin link; what is told of servers must
    not wait for it.
    """
    while True:
        await watch.heard.wait()
        watch.heard = trio.Event()
        while watch.newest_version > sink.version():
            if not await fetch_document(watch, sink, watch.newest_at):
                # The next poll tells again who has a newer one.
                watch.newest_version = sink.version()
                await trio.sleep(CHECK_SECONDS)


async def fetch_document(
    watch: FeedWatch, sink: DocumentSink, address: str
) -> bool:
    """Fetch the configuration that a control instance has in force.

    Returns
    -------
    bool
        Whether it was newer than what the process had.
    """
    request = HttpRequest('GET', address, DOCUMENT_PAGE)
    seconds = DOCUMENT_TIMEOUT.total_seconds()
    asked = await send_request(watch.client, request, seconds)
    reason = 'was refused'
    if isinstance(asked, Err):
        reason = asked.error.reason
    elif asked.value.is_success:
        before = sink.version()
        try:
            sink.take(_document_decoder.decode(asked.value.body))
        except msgspec.DecodeError as error:
            reason = str(error)
        else:
            return sink.version() > before
    watch.log.warning(
        'configuration not fetched',
        extra={'address': address, 'reason': reason},
    )
    return False
