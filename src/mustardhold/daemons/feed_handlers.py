"""Publishes changes of servers and configurations by long poll."""

import functools
from http import HTTPStatus

import msgspec
import trio

from mustardhold.adapters.http_app import (
    HandlerRequest,
    HandlersByPath,
    Reply,
    json_reply,
)
from mustardhold.daemons.feed_publisher import FeedPublisher
from mustardhold.daemons.feed_replies import (
    encode_reply,
    make_reply,
    reply_with_snapshot,
)
from mustardhold.systems.feed_tree import admit_watcher, coalescing_pause
from mustardhold.tables.constants import FEED_WAIT
from mustardhold.tables.feed import (
    DOCUMENT_PATH,
    FEED_PATH,
    FeedPosition,
    FeedReply,
    FeedRequest,
)

BYTES_TYPE = 'application/octet-stream'

_query_decoder = msgspec.json.Decoder(FeedRequest)


def make_feed_handlers(feed: FeedPublisher) -> HandlersByPath:
    """Return the handlers of the pages that publish the feed."""
    return {
        ('POST', FEED_PATH): functools.partial(handle_feed_poll, feed),
        ('GET', DOCUMENT_PATH): functools.partial(show_document, feed),
    }


async def handle_feed_poll(
    feed: FeedPublisher, request: HandlerRequest
) -> Reply:
    """Respond with changes, as soon as there are any or at the timeout.

    A watcher that is not admitted gets only the names of relays.
    """
    query = _query_decoder.decode(request.body)
    received_at = feed.clock.monotonic()
    position = query.position
    if position.run_id != feed.run_id:
        position = FeedPosition()
    relays = admit_watcher(
        feed.watchers_by_name, received_at, query, feed.limit
    )
    if relays:
        version = feed.configuration().version
        return json_reply(FeedReply(FeedPosition(), (), version, relays=relays))
    watcher = feed.watchers_by_name[query.watcher]
    watcher.revision = position.revision
    feed.polled.set()
    feed.polled = trio.Event()
    await wait_for_updates(feed, position, query)
    if not position.run_id and not query.is_control:
        return reply_with_snapshot(feed, watcher, query)
    held = feed.clock.monotonic() - received_at
    return encode_reply(make_reply(feed, watcher, position, query, held))


async def wait_for_updates(
    feed: FeedPublisher, position: FeedPosition, query: FeedRequest
) -> None:
    """Wait until a poll has to be answered.

    Changes within a short time go together, since each reply costs both sides
    more than what is in it. That also holds for changes that came before the
    poll: while servers change all the time, a poll would otherwise always be
    answered at once, and be followed by the next.
    """
    if not position.run_id:
        return
    pause = coalescing_pause(query, len(feed.watchers_by_name))
    with trio.move_on_after(FEED_WAIT.total_seconds()):
        while not has_updates(feed, position, query):
            await feed.changed.wait()
        await trio.sleep(pause)


def has_updates(
    feed: FeedPublisher, position: FeedPosition, query: FeedRequest
) -> bool:
    """Return whether a poll must be answered immediately."""
    if feed.directory.revision > position.revision:
        return True
    if feed.directory.suspicions.revision > position.suspect_revision:
        return True
    if query.is_control:
        return False
    if feed.directory.silent_revision > position.silent_revision:
        return True
    if feed.evacuations().revision > query.evacuation_revision:
        return True
    return feed.configuration().version > query.version


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
            feed.watchers_by_name[name].revision >= revision
            for name in watchers & feed.watchers_by_name.keys()
        )
        if merged >= count:
            return
        await feed.polled.wait()
