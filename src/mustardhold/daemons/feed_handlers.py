"""Publishes changes of servers and configurations by long poll."""

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
    """State that is published, and the revision that each watcher has merged.

    Attributes
    ----------
    run_id
        Identifies this run of the process; revisions restart with it.
    is_current
        Returns whether this process would know of a configuration that was
        just committed.
    controls
        Returns the internal addresses of all known control instances.
    revisions_by_watcher
        Revision that each watcher has confirmed as merged by its next poll.
    changed, polled
        Set and replaced at each change and at each poll.
    woken_revision
        Urgent revision of the directory when watchers were last woken for
        servers.
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
    """Respond to all waiting polls that have updates."""
    feed.changed.set()
    feed.changed = trio.Event()


def wake_if_urgent(feed: FeedPublisher) -> None:
    """Wake the watchers if there was an urgent change since they were woken."""
    if feed.directory.urgent_revision > feed.woken_revision:
        feed.woken_revision = feed.directory.urgent_revision
        wake_watchers(feed)


async def handle_feed_poll(
    feed: FeedPublisher, request: HandlerRequest
) -> Reply:
    """Respond with changes, as soon as there are any or at the timeout."""
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
    """Return whether a poll must be answered immediately."""
    if feed.directory.urgent_revision > after:
        return True
    return feed.configuration().version > version


def make_reply(feed: FeedPublisher, after: int) -> FeedReply:
    """Make a reply with the servers that changed after a revision."""
    return FeedReply(
        feed.run_id,
        feed.directory.revision,
        tuple(rows_after(feed.directory, feed.clock.monotonic(), after)),
        feed.is_current(),
        feed.configuration().version,
        feed.controls(),
    )


async def show_document(feed: FeedPublisher, _: HandlerRequest) -> Reply:
    """Respond with the current configuration."""
    packed = msgspec.msgpack.encode(feed.configuration())
    return Reply(HTTPStatus.OK, packed, BYTES_TYPE)


async def wait_merged(
    feed: FeedPublisher, revision: int, watchers: frozenset[str], count: int
) -> None:
    """Wait until some of the watchers have merged a revision.

    Parameters
    ----------
    count
        Number of watchers that must have merged it.
    """
    while True:
        merged = sum(
            feed.revisions_by_watcher.get(watcher, 0) >= revision
            for watcher in watchers
        )
        if merged >= count:
            return
        await feed.polled.wait()
