"""Messages of the feed from control instances to balancers and each other."""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

import msgspec

from mustardhold.tables.directory import DirectoryRow
from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.suspicions import Suspect

FEED_PATH: Final = '/feed'
DOCUMENT_PATH: Final = '/document'
NEVER_CONFIRMED: Final = float('-inf')
"""Time of a confirmation that has not happened."""
NEVER_NEWER: Final = 2**62
"""Revision or version of a watcher that takes none; no other is newer."""


class FeedPosition(msgspec.Struct, frozen=True, array_like=True):
    """How much of a sender's state a watcher has merged.

    Attributes
    ----------
    run_id
        Id of the sender's run; the other fields count from its start. Empty if
        the watcher has merged nothing of it.
    revision
        Revision of its directory.
    heard_count
        Number of reports that it had received from servers itself.
    silent_revision
        Revision of its set of silent servers.
    suspect_revision
        Revision of its suspicions.
    """

    run_id: str = ''
    revision: int = 0
    heard_count: int = 0
    silent_revision: int = 0
    suspect_revision: int = 0


class FeedRequest(msgspec.Struct, frozen=True):
    """Requests the changes since a position; a long poll.

    Attributes
    ----------
    watcher
        Name of the requesting process.
    position
        What the watcher has merged of the replying process's state.
    version
        Newest version of the configuration that the watcher knows of.
    is_control
        Whether the watcher is a control instance: it decides itself which
        servers are silent, from the reports that all instances receive.
    address
        Address where the watcher serves the feed to others; empty if it does
        not.
    data_centre
        Data centre of the watcher.
    confirmed_ms
        Age of the watcher's own state, in milliseconds; ``None`` if it was
        never known to be up to date.
    failed_relays
        Addresses of relays that lately did not serve the watcher.
    evacuation_revision
        Revision of the evacuated data centres that the watcher knows.
        Watchers of an earlier version send none and take none.
    balancers
        Part of the watcher, and of the balancers that follow it, that the
        sender counts; not used for a control instance.
    """

    watcher: str
    position: FeedPosition = FeedPosition()
    version: int = 0
    is_control: bool = False
    address: str = ''
    data_centre: str = ''
    confirmed_ms: int | None = None
    failed_relays: tuple[str, ...] = ()
    evacuation_revision: int = NEVER_NEWER
    balancers: float = 1


class FeedReply(msgspec.Struct, frozen=True):
    """Changes since a position, and the version of the configuration.

    Attributes
    ----------
    position
        The watcher's position once it has merged the reply.
    rows
        Servers that changed; all that are known if the watcher had merged
        nothing of this run.
    version
        Version of the sender's current configuration.
    held_ms
        Time that the sender held the poll, in milliseconds on its clock, which
        counts suspensions; negative if the reply was made before the poll came.
    confirmed_ms
        Age of the sender's state, in milliseconds: time since it was known to
        be up to date with the replicated log. ``None`` if it never was.
    silent
        Tokens of the servers that have ceased to report; ``None`` if unchanged.
    heard
        Tokens of the servers that reported to the sender itself; for control
        instances only.
    controls
        Internal addresses of all control instances; empty if unchanged.
    relays
        Addresses of processes that the watcher should follow from now on
        instead of the sender, which answers no more watchers; empty if it may
        stay.
    is_settled
        Whether the sender has run for long enough to know all servers that
        report.
    evacuations
        The evacuated data centres; ``None`` if the watcher knows a revision
        that is at least as high.
    suspects
        Suspicions that began or changed; all if the watcher had merged nothing.
    balancers
        Number of balancers, 0 if unknown; for control instances, the part of it
        that follows the sender.
    """

    position: FeedPosition
    rows: tuple[DirectoryRow, ...]
    version: int
    held_ms: int = 0
    confirmed_ms: int | None = None
    silent: tuple[int, ...] | None = None
    heard: tuple[int, ...] = ()
    controls: tuple[str, ...] = ()
    relays: tuple[str, ...] = ()
    is_settled: bool = False
    evacuations: EvacuationState | None = None
    suspects: tuple[Suspect, ...] = ()
    balancers: float = 0


class ReceivedReply(NamedTuple):
    """A reply, and when its sender made it.

    Attributes
    ----------
    made_at
        Earliest time at which the sender may have made it, on the local clock,
        in seconds. A reply that was held up on its way counts as old.
    """

    reply: FeedReply
    made_at: float

    @property
    def confirmed_at(self) -> float:
        """Time at which the sender's state was known to be up to date."""
        if self.reply.confirmed_ms is None:
            return NEVER_CONFIRMED
        return self.made_at - self.reply.confirmed_ms / 1000


@dataclass(slots=True)
class FeedSource:
    """What a process knows of another one whose feed it follows.

    Attributes
    ----------
    position
        How much of its state has been merged.
    silent
        Tokens of the servers that it believes to be silent.
    missing
        Tokens of the servers that this process knows but the source did not,
        when this process began to follow it.
    version
        Version of its configuration; 0 if it has none.
    confirmed_at
        When its state was last known to be up to date; local clock, in seconds.
    balancers
        Number of balancers that it knows; of a control instance to another, the
        part that follows it.
    controls
        Addresses of the control instances of the group, as it named them last.
    """

    position: FeedPosition = field(default_factory=FeedPosition)
    silent: frozenset[int] = frozenset()
    missing: frozenset[int] = frozenset()
    version: int = 0
    confirmed_at: float = NEVER_CONFIRMED
    balancers: float = 0
    controls: frozenset[str] = frozenset()


@dataclass(slots=True)
class Watcher:
    """What a process knows of another one that polls its feed.

    Attributes
    ----------
    revision
        Revision of the directory that it has confirmed as merged by its next
        poll.
    controls
        Addresses of control instances that it was sent last.
    address
        Address where it serves the feed to others; empty if it does not.
    is_up_to_date
        Whether its own state was recent at its last poll.
    polled_at
        When its last poll was received; local clock, in seconds.
    balancers
        Part of the balancers that is counted for it.
    """

    is_control: bool = False
    revision: int = 0
    controls: tuple[str, ...] = ()
    address: str = ''
    data_centre: str = ''
    is_up_to_date: bool = False
    polled_at: float = float('-inf')
    balancers: float = 0
