"""Backend servers by incarnation, as they announce themselves."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import msgspec

LAST_SEQUENCE: Final = 2**62
"""Sequence of a report that no other of its incarnation can follow."""


class ServerState(StrEnum):
    """Stage of an incarnation's life."""

    READY = 'ready'
    DRAINING = 'draining'
    ENDED = 'ended'


class ServerReport(msgspec.Struct, array_like=True, frozen=True):
    """What a backend server last said of itself.

    Attributes
    ----------
    incarnation
        Start of the server, in milliseconds since 1970 by its own clock; the
        same id may start again.
    sequence
        Rises with each report of one incarnation.
    address
        IPv4 address and port, as ``"ip:port"``.
    slow_for_ms
        For how much longer the server is slow after its start.
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
    """A report on its way between processes.

    Attributes
    ----------
    age_ms
        Time since the report arrived at any process, in milliseconds.
    """

    report: ServerReport
    age_ms: int


@dataclass(slots=True)
class KnownServer:
    """A backend server as this process knows it.

    Attributes
    ----------
    received_at
        When the report arrived at any process; local clock, in seconds.
    revision
        Local count of changes at the latest change of this row.
    urgent_revision
        The same at its latest change other than a repeated report.
    slow_until
        When its slow time after the start is over; local clock.
    """

    report: ServerReport
    received_at: float
    revision: int
    urgent_revision: int
    token: int
    slow_until: float


@dataclass(slots=True)
class Directory:
    """All known backend servers.

    Attributes
    ----------
    revision
        Count of all changes of rows.
    urgent_revision
        The revision at the latest change other than a repeated report.
    servers_by_token
        Incarnations that flows may belong to, ended ones included.
    """

    servers_by_id: dict[str, KnownServer] = field(default_factory=dict)
    ids_by_address: dict[str, str] = field(default_factory=dict)
    servers_by_token: dict[int, KnownServer] = field(default_factory=dict)
    revision: int = 0
    urgent_revision: int = 0
