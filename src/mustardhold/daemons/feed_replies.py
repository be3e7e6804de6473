"""Makes the replies to polls of the feed from the published state."""

from http import HTTPStatus

import msgspec

from mustardhold.adapters.content_encoding import DEFLATE, deflate
from mustardhold.adapters.http_app import Reply
from mustardhold.daemons.feed_publisher import FeedPublisher, Snapshot
from mustardhold.systems.directory import rows_after, whole_milliseconds
from mustardhold.systems.fleet_count import count_followers
from mustardhold.systems.liveness import tokens_heard_after
from mustardhold.systems.suspicions import suspects_after
from mustardhold.tables.constants import SETTLING_PERIOD, SNAPSHOT_LIFETIME
from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.feed import (
    FeedPosition,
    FeedReply,
    FeedRequest,
    Watcher,
)

MILLISECONDS = 1000
# Compressing less than a few packets' worth would save nothing.
MIN_DEFLATED_BYTES = 4_096


def reply_with_snapshot(
    feed: FeedPublisher, watcher: Watcher, query: FeedRequest
) -> Reply:
    """Reply to a balancer that has merged nothing, from a recent snapshot.

    When many balancers start at once, one snapshot serves them all. It is
    dated back by its age, so that it does not look newer than it is.
    """
    now = feed.clock.monotonic()
    key = (
        feed.directory.revision,
        feed.directory.silent_revision,
        feed.directory.suspicions.revision,
        feed.configuration().version,
        feed.controls(),
        feed.evacuations().revision,
    )
    snapshot = feed.snapshot
    if snapshot is None or not is_usable(snapshot, key, now):
        # Dated back by the longest time for which it may be used.
        held = -SNAPSHOT_LIFETIME.total_seconds()
        # Watchers that know another state of the evacuations get it as well.
        query = msgspec.structs.replace(query, evacuation_revision=0)
        reply = make_reply(feed, watcher, FeedPosition(), query, held)
        snapshot = Snapshot(key, now, encode_reply(reply))
        feed.snapshot = snapshot
    watcher.controls = feed.controls()
    return snapshot.reply


def is_usable(snapshot: Snapshot, key: tuple[object, ...], now: float) -> bool:
    """Return whether a snapshot still tells the current state."""
    is_recent = now - snapshot.made_at <= SNAPSHOT_LIFETIME.total_seconds()
    return is_recent and snapshot.key == key


def encode_reply(reply: FeedReply) -> Reply:
    """Encode a reply as JSON, compressed if it is long."""
    raw = msgspec.json.encode(reply)
    if len(raw) < MIN_DEFLATED_BYTES:
        return Reply(HTTPStatus.OK, raw)
    return Reply(HTTPStatus.OK, deflate(raw), encoding=DEFLATE)


def make_reply(
    feed: FeedPublisher,
    watcher: Watcher,
    position: FeedPosition,
    query: FeedRequest,
    held: float,
) -> FeedReply:
    """Make a reply with what changed after a watcher's position.

    Parameters
    ----------
    held
        Seconds since the poll was received.
    """
    directory, now = feed.directory, feed.clock.monotonic()
    reply = FeedReply(
        FeedPosition(
            feed.run_id,
            directory.revision,
            directory.heard_count,
            directory.silent_revision,
            directory.suspicions.revision,
        ),
        tuple(rows_after(directory, now, position.revision)),
        feed.configuration().version,
        round(held * MILLISECONDS),
        age_of_state(feed, now),
        controls=controls_to_send(feed, watcher, position),
        is_settled=now - feed.started_at > SETTLING_PERIOD.total_seconds(),
        suspects=tuple(
            suspects_after(directory.suspicions, now, position.suspect_revision)
        ),
    )
    if query.is_control:
        heard = tokens_heard_after(directory, position.heard_count)
        followers = count_followers(feed.watchers_by_name.values())
        return msgspec.structs.replace(reply, heard=heard, balancers=followers)
    return msgspec.structs.replace(
        reply,
        silent=silent_to_send(feed, position),
        evacuations=evacuations_to_send(feed, query),
        balancers=feed.balancers(),
    )


def silent_to_send(
    feed: FeedPublisher, position: FeedPosition
) -> tuple[int, ...] | None:
    """Return the silent servers if they changed since a position."""
    directory = feed.directory
    is_known = position.silent_revision == directory.silent_revision
    if position.run_id and is_known:
        return None
    return tuple(sorted(directory.silent_tokens))


def evacuations_to_send(
    feed: FeedPublisher, query: FeedRequest
) -> EvacuationState | None:
    """Return the evacuated data centres if a watcher's state is older."""
    state = feed.evacuations()
    return state if state.revision > query.evacuation_revision else None


def age_of_state(feed: FeedPublisher, now: float) -> int | None:
    """Return the age of the published state in ms; None if never confirmed."""
    age = now - feed.confirmed_at()
    return None if age == float('inf') else whole_milliseconds(age)


def controls_to_send(
    feed: FeedPublisher, watcher: Watcher, position: FeedPosition
) -> tuple[str, ...]:
    """Return the control instances if the watcher does not know them yet."""
    controls = feed.controls()
    if position.run_id and controls == watcher.controls:
        return ()
    watcher.controls = controls
    return controls
