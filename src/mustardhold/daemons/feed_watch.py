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
    FEED_MARGIN,
    FEED_RETRY,
    FEED_STALE,
    FEED_WAIT,
)
from mustardhold.tables.directory import Directory, ServerReport
from mustardhold.tables.feed import FeedAsk, FeedReply
from mustardhold.tables.outcomes import Err

FEED_PAGE = '/feed'
CHECK_SECONDS = 0.1
POLL_SECONDS = (FEED_WAIT + FEED_MARGIN).total_seconds()

_reply_decoder = msgspec.json.Decoder(FeedReply)


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
    version
        Returns the version of the configuration that the process has.
    take_configuration
        Takes a newer configuration.
    note_report
        Learns of each report that was new.
    note_reply
        Learns of each reply, after it was merged.
    failed_at
        When an address last failed; local clock.
    """

    name: str
    own_address: str
    directory: Directory
    clock: Clock
    log: logging.Logger
    limit: int
    contacts: set[str]
    version: Callable[[], int]
    take_configuration: Callable[[VersionedDocument], None]
    note_report: Callable[[ServerReport], None]
    note_reply: Callable[[FeedReply], None]
    client: HttpClient = field(default_factory=HttpClient)
    watched: set[str] = field(default_factory=set)
    failed_at: dict[str, float] = field(default_factory=dict)


async def run_watch(watch: FeedWatch) -> None:
    """Keep watching as many control instances as wanted."""
    async with trio.open_nursery() as nursery:
        while True:
            for address in next_contacts(watch):
                watch.watched.add(address)
                nursery.start_soon(watch_control, watch, address)
            await trio.sleep(CHECK_SECONDS)


def next_contacts(watch: FeedWatch) -> list[str]:
    """Choose whom to watch besides those that are watched."""
    now = watch.clock.monotonic()
    free = [
        address
        for address in watch.contacts - watch.watched
        if address != watch.own_address
        and now - watch.failed_at.get(address, float('-inf'))
        >= FEED_RETRY.total_seconds()
    ]
    free.sort(
        key=lambda address: (
            watch.failed_at.get(address, float('-inf')),
            xxhash.xxh3_64_intdigest(f'{watch.name}/{address}'.encode()),
        )
    )
    return free[: max(watch.limit - len(watch.watched), 0)]


async def watch_control(watch: FeedWatch, address: str) -> None:
    """Follow one control instance until it fails or is out of date."""
    run_id, after, is_reached = '', 0, False
    current_at = watch.clock.monotonic()
    try:
        while True:
            ask = FeedAsk(watch.name, run_id, after, watch.version())
            reply = await poll(watch, address, ask)
            if reply is None:
                break
            if not is_reached:
                is_reached = True
                watch.log.info('control reached', extra={'address': address})
            take_reply(watch, reply)
            run_id, after = reply.run_id, reply.revision
            now = watch.clock.monotonic()
            current_at = now if reply.is_current else current_at
            if now - current_at > FEED_STALE.total_seconds():
                break
    finally:
        watch.watched.discard(address)
        watch.failed_at[address] = watch.clock.monotonic()
    watch.log.warning(
        'control lost', extra={'address': address, 'was_reached': is_reached}
    )


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


def take_reply(watch: FeedWatch, reply: FeedReply) -> None:
    """Merge what a control instance told."""
    watch.contacts.update(reply.controls)
    now = watch.clock.monotonic()
    for report in take_rows(watch.directory, now, reply.rows):
        watch.note_report(report)
    if reply.configuration is not None:
        watch.take_configuration(reply.configuration)
    watch.note_reply(reply)
