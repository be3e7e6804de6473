"""Tells watchers of servers and configurations, by long poll."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import HandlerRequest, Reply, json_reply
from mustardhold.systems.directory import rows_after
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.constants import FEED_WAIT
from mustardhold.tables.directory import Directory
from mustardhold.tables.feed import FeedReply, FeedRequest

BYTES_TYPE = 'application/octet-stream'

_query_decoder = msgspec.json.Decoder(FeedRequest)


@dataclass(slots=True)
class FeedPublisher:
    """What is told, and who has merged what.

    Attributes
    ----------
    run_id
        Names this run; revisions start anew with each one.
    revisions_by_watcher
        Revision that each watcher has certainly merged.
    changed, asked
        Set, and replaced, at each change and each poll.
    woken_revision
        Urgent revision of the directory at the last wake-up for servers.
    """

    run_id: str
    directory: Directory
    configuration: Callable[[], VersionedDocument]
    is_current: Callable[[], bool]
    controls: Callable[[], tuple[str, ...]]
    clock: Clock
    revisions_by_watcher: dict[str, int] = field(default_factory=dict)
    changed: trio.Event = field(default_factory=trio.Event)
    polled: trio.Event = field(default_factory=trio.Event)
    woken_revision: int = 0


def wake_watchers(feed: FeedPublisher) -> None:
    """Answer everyone who waits."""
    feed.changed.set()
    feed.changed = trio.Event()


def wake_if_urgent(feed: FeedPublisher) -> None:
    """Answer everyone who waits, if the directory changed urgently since."""
    if feed.directory.urgent_revision > feed.woken_revision:
        feed.woken_revision = feed.directory.urgent_revision
        wake_watchers(feed)


async def handle_feed_poll(
    feed: FeedPublisher, request: HandlerRequest
) -> Reply:
    """Answer with what changed, at once or when the poll has lasted."""
    query = _query_decoder.decode(request.body)
    after = query.after if query.run_id == feed.run_id else 0
    feed.revisions_by_watcher[query.watcher] = after
    feed.polled.set()
    feed.polled = trio.Event()
    with trio.move_on_after(FEED_WAIT.total_seconds()):
        while not has_updates(feed, after, query.version):
            await feed.changed.wait()
    return json_reply(make_reply(feed, after))


def has_updates(feed: FeedPublisher, after: int, version: int) -> bool:
    """Tell whether a watcher has to learn of something at once."""
    if feed.directory.urgent_revision > after:
        return True
    return feed.configuration().version > version


def make_reply(feed: FeedPublisher, after: int) -> FeedReply:
    """Collect what a watcher lacks."""
    return FeedReply(
        feed.run_id,
        feed.directory.revision,
        tuple(rows_after(feed.directory, feed.clock.monotonic(), after)),
        feed.is_current(),
        feed.configuration().version,
        feed.controls(),
    )


async def show_document(feed: FeedPublisher, _: HandlerRequest) -> Reply:
    """Answer with the configuration in force."""
    packed = msgspec.msgpack.encode(feed.configuration())
    return Reply(HTTPStatus.OK, packed, BYTES_TYPE)


async def wait_merged(
    feed: FeedPublisher, revision: int, watchers: frozenset[str], count: int
) -> None:
    """Wait until some of the watchers have merged a revision."""
    while True:
        merged = sum(
            feed.revisions_by_watcher.get(watcher, 0) >= revision
            for watcher in watchers
        )
        if merged >= count:
            return
        await feed.polled.wait()
