"""Publishes changes of servers and configurations by long poll."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.content_encoding import DEFLATE, deflate
from mustardhold.adapters.http_app import HandlerRequest, Reply, json_reply
from mustardhold.systems.directory import rows_after, whole_milliseconds
from mustardhold.systems.feed_tree import admit_watcher, coalescing_pause
from mustardhold.systems.fleet_count import count_followers
from mustardhold.systems.liveness import tokens_heard_after
from mustardhold.systems.suspicions import suspects_after
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.constants import (
    FEED_WAIT,
    SETTLING_PERIOD,
    SNAPSHOT_LIFETIME,
)
from mustardhold.tables.directory import Directory
from mustardhold.tables.evacuations import NO_EVACUATIONS, EvacuationState
from mustardhold.tables.feed import (
    FeedPosition,
    FeedReply,
    FeedRequest,
    Watcher,
)

RUN_ID_BITS = 64
MILLISECONDS = 1000
# Compressing less than a few packets' worth would save nothing.
MIN_DEFLATED_BYTES = 4_096
BYTES_TYPE = 'application/octet-stream'

_query_decoder = msgspec.json.Decoder(FeedRequest)


class Snapshot(NamedTuple):
    """An encoded reply with the whole state.

    Attributes
    ----------
    key
        The revisions that it was made from, and the control instances.
    made_at
        When it was made; local clock, in seconds.
    """

    key: tuple[object, ...]
    made_at: float
    reply: Reply


def no_evacuations() -> EvacuationState:
    """Return that no data centre is evacuated."""
    return NO_EVACUATIONS


@dataclass(slots=True)
class FeedPublisher:
    """State that is published, and the processes that poll it.

    Attributes
    ----------
    run_id
        Identifies this run of the process; revisions restart with it.
    confirmed_at
        Returns when this process last knew of every configuration that had
        been committed; local clock, in seconds.
    controls
        Returns the internal addresses of all known control instances.
    limit
        Number of balancers that may follow this process.
    evacuations
        Returns the evacuated data centres that this process knows.
    balancers
        Returns the number of balancers, or 0 if it is not known.
    changed, polled
        Set and replaced at each change and at each poll.
    woken_for
        Revisions of the servers, of the silent ones and of the suspicions when
        watchers were last woken for them.
    snapshot
        The latest reply to a balancer that had merged nothing.
    started_at
        When the run began; local clock, in seconds.
    """

    run_id: str
    directory: Directory
    configuration: Callable[[], VersionedDocument]
    confirmed_at: Callable[[], float]
    controls: Callable[[], tuple[str, ...]]
    clock: Clock
    limit: int
    evacuations: Callable[[], EvacuationState] = no_evacuations
    balancers: Callable[[], float] = float
    watchers_by_name: dict[str, Watcher] = field(default_factory=dict)
    changed: trio.Event = field(default_factory=trio.Event)
    polled: trio.Event = field(default_factory=trio.Event)
    woken_for: tuple[int, int, int] = (0, 0, 0)
    snapshot: Snapshot | None = None
    started_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Record the start of the run."""
        self.started_at = self.clock.monotonic()


def make_run_id() -> str:
    """Return a new id for a run of a process that serves the feed."""
    return f'{random.getrandbits(RUN_ID_BITS):x}'


def wake_watchers(feed: FeedPublisher) -> None:
    """Respond to all waiting polls that have updates."""
    feed.changed.set()
    feed.changed = trio.Event()


def wake_if_changed(feed: FeedPublisher) -> None:
    """Wake the watchers if servers changed since they were last woken."""
    directory = feed.directory
    revisions = (
        directory.revision,
        directory.silent_revision,
        directory.suspicions.revision,
    )
    if revisions != feed.woken_for:
        feed.woken_for = revisions
        wake_watchers(feed)


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
        anyone = msgspec.structs.replace(query, evacuation_revision=0)
        reply = make_reply(feed, watcher, FeedPosition(), anyone, held)
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
