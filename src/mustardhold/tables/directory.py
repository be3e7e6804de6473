"""Directory of backend servers, by incarnation and by token."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import msgspec

from mustardhold.tables.suspicions import Suspicions

LAST_SEQUENCE: Final = 2**62
"""Sequence of the final report of an incarnation; all others are lower."""


class ServerState(StrEnum):
    """Lifecycle state of an incarnation of a backend server."""

    READY = 'ready'
    DRAINING = 'draining'
    ENDED = 'ended'


class ServerReport(msgspec.Struct, array_like=True, frozen=True):
    """Latest report of a backend server about itself.

    Attributes
    ----------
    incarnation
        Start time of the server, in milliseconds since 1970-01-01 UTC on the
        server's clock. A server may restart with the same id.
    sequence
        Increases with each report of one incarnation.
    address
        IPv4 address and port, as ``"ip:port"``.
    slow_for_ms
        Remaining time of the slow start, in milliseconds.
    """

    server_id: str
    incarnation: int
    sequence: int
    service: str
    address: str
    data_centre: str
    slots: int
    state: ServerState
    slow_for_ms: int = 0


class DirectoryRow(msgspec.Struct, array_like=True, frozen=True):
    """A report sent from one process to another.

    Attributes
    ----------
    age_ms
        Time since the first process received the report, in milliseconds.
    silent_ms
        Time since a control instance last received any report of the server,
        in milliseconds; at most ``age_ms``.
    is_unconfirmed
        Whether the sender read it from its disk and nobody has confirmed since
        that the server still exists.
    """

    report: ServerReport
    age_ms: int
    silent_ms: int
    is_unconfirmed: bool = False


@dataclass(slots=True)
class KnownServer:
    """State that this process holds for one incarnation of a backend server.

    Attributes
    ----------
    received_at
        When the first process received the report, on the local monotonic
        clock, in seconds.
    heard_at
        When any process last received a report of the server, also one that
        only repeated the earlier ones; local monotonic clock, in seconds.
    revision
        Revision of the directory at the latest change of this server.
    slow_until
        End of the slow start, on the local monotonic clock, in seconds.
    shared_slow_until
        End of the slow start as of the latest change that other processes
        received.
    is_unconfirmed
        Whether it was restored from disk, and nobody has confirmed since that
        it still exists: it may have left while the process was down.
    """

    report: ServerReport
    received_at: float
    heard_at: float
    revision: int
    token: int
    slow_until: float
    is_unconfirmed: bool = False
    shared_slow_until: float = float('-inf')


@dataclass(slots=True)
class Directory:
    """All backend servers that this process knows.

    Attributes
    ----------
    servers_by_id
        The newest incarnation of each server, the latest change last.
    servers_by_token
        Incarnations that flows may belong to, including ended ones.
    revision
        Number of changes so far that other processes must receive: a new
        server, restart or slow start, or another state, address, service or
        size.
    heard_by_token
        Servers that reported to this process itself, the latest last, each
        with the value of ``heard_count`` at its latest report.
    heard_count
        Number of reports that this process received itself.
    silent_tokens
        Servers that have ceased to report without having ended.
    silent_revision
        Number of changes of ``silent_tokens``.
    suspicions
        Servers that answer worse than others, by what all balancers see.
    """

    servers_by_id: dict[str, KnownServer] = field(default_factory=dict)
    ids_by_address: dict[str, str] = field(default_factory=dict)
    servers_by_token: dict[int, KnownServer] = field(default_factory=dict)
    revision: int = 0
    heard_by_token: dict[int, int] = field(default_factory=dict)
    heard_count: int = 0
    silent_tokens: frozenset[int] = frozenset()
    silent_revision: int = 0
    suspicions: Suspicions = field(default_factory=Suspicions)
