"""State of a process that publishes the feed, and the waking of its polls."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import Reply
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.directory import Directory
from mustardhold.tables.evacuations import NO_EVACUATIONS, EvacuationState
from mustardhold.tables.feed import Watcher

RUN_ID_BITS = 64


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


def unknown_number() -> float:
    """Return 0, as a process that does not know the number of balancers."""
    return 0


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
    balancers: Callable[[], float] = unknown_number
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
