"""State of a process that follows sources of the feed."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_client import HttpClient
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.directory import Directory, ServerReport
from mustardhold.tables.feed import FeedSource, ReceivedReply

CHECK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class DocumentSink:
    """Receives the configurations that the client fetches.

    Attributes
    ----------
    version
        Returns the current version of the process.
    install
        Installs a newer configuration.
    confirmed_at
        Returns as of when the process is known to be up to date; local clock,
        in seconds.
    """

    version: Callable[[], int]
    install: Callable[[VersionedDocument], None]
    confirmed_at: Callable[[], float]


@dataclass(frozen=True, slots=True)
class WatcherIdentity:
    """What a process tells of itself in its polls.

    Attributes
    ----------
    address
        Internal address of the process, which it does not poll itself.
    serves_feed
        Whether other balancers may follow this process at that address.
    """

    name: str
    data_centre: str
    address: str
    serves_feed: bool = False


def no_revision() -> int:
    """Return the revision of a process that takes no evacuations."""
    return 0


def no_followers() -> float:
    """Return 0, as a process that no balancers follow."""
    return 0


@dataclass(slots=True)
class FeedClient:
    """State of the polls that a process sends to those that it follows.

    Attributes
    ----------
    limit
        Number of sources to follow; no others are polled once that many have
        replied.
    known_addresses
        Internal addresses of all control instances that were ever named, by the
        settings or by sources; the group may have lost some since.
    current_controls
        Those of the group by the latest words of the sources; empty before the
        first.
    document_sink
        Receives newer configurations; ``None`` if the process gets them by
        other means, as a control instance does.
    on_report
        Called with each report that was new.
    on_reply
        Called with each reply after it was merged.
    evacuation_revision
        Returns the revision of the evacuated data centres that the process
        knows; not used for a control instance.
    followers
        Returns the part of the balancers that follows this process.
    relay_addresses
        Balancers that a source named as those to follow instead.
    relay_failed_at
        When a relay last failed to serve; local clock.
    polled
        Addresses that are being polled.
    sources_by_address
        Those of them that have replied, and what is known of them.
    failed_at
        When an address last failed or was released; local clock.
    outage_began
        When an address failed first since it last replied; local clock.
    source_lost_at
        When a source was last left, local clock.
    started_at
        When the process started, local clock.
    has_received
        Whether any source has ever replied.
    newest_version, newest_source
        Newest version that a reply named, and the address that it came from.
    update_found
        Set once there is a newer version to fetch.
    """

    identity: WatcherIdentity
    directory: Directory
    clock: Clock
    log: logging.Logger
    counters: Counter[tuple[str, str]]
    limit: int
    known_addresses: set[str]
    document_sink: DocumentSink | None
    on_report: Callable[[ServerReport], None]
    on_reply: Callable[[ReceivedReply], None]
    evacuation_revision: Callable[[], int] = no_revision
    followers: Callable[[], float] = no_followers
    current_controls: frozenset[str] = frozenset()
    http_client: HttpClient = field(default_factory=HttpClient)
    relay_addresses: set[str] = field(default_factory=set)
    relay_failed_at: dict[str, float] = field(default_factory=dict)
    polled: set[str] = field(default_factory=set)
    sources_by_address: dict[str, FeedSource] = field(default_factory=dict)
    failed_at: dict[str, float] = field(default_factory=dict)
    outage_began: dict[str, float] = field(default_factory=dict)
    source_lost_at: float = float('-inf')
    started_at: float = 0
    has_received: bool = False
    newest_version: int = 0
    newest_source: str = ''
    update_found: trio.Event = field(default_factory=trio.Event)


def group_addresses(client: FeedClient) -> tuple[str, ...]:
    """Return the control instances of the group; all known ones at first."""
    return tuple(sorted(client.current_controls or client.known_addresses))
