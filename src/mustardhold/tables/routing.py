"""The operators' two tables, and edits of them."""

from enum import StrEnum

import msgspec


class EntryKind(StrEnum):
    """Which of the two tables an edit is for."""

    ROUTE = 'route'
    POOL = 'pool'


class Weighting(StrEnum):
    """What a pool puts first when the two goals disagree."""

    AFFINITY = 'affinity'
    BALANCE = 'balance'


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which addresses belong to a service.

    Attributes
    ----------
    addresses
        IPv4 addresses and ports that callers connect to, as ``"ip:port"``.
    """

    name: str
    addresses: tuple[str, ...]


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which backend servers may serve the service of the same name.

    Attributes
    ----------
    servers
        Patterns of backend server ids, with ``*`` for any characters.
    drained
        Ids of backend servers that get no new work.
    """

    name: str
    servers: tuple[str, ...] = ('*',)
    drained: tuple[str, ...] = ()
    weighting: Weighting = Weighting.AFFINITY


class RoutingTable(msgspec.Struct, frozen=True):
    """One version of both tables.

    Attributes
    ----------
    version
        Number of accepted edits that led to this table.
    entry_versions
        Version at which each entry was last changed, by ``"kind/name"``.
    """

    version: int
    routes_by_name: dict[str, Route]
    pools_by_name: dict[str, Pool]
    entry_versions: dict[str, int]


def empty_table() -> RoutingTable:
    """Make the table before the first edit."""
    return RoutingTable(0, {}, {}, {})


class TableChanges(msgspec.Struct, frozen=True):
    """What turns one version of both tables into a later one.

    Attributes
    ----------
    since
        Version that the changes apply to; 0 for the whole table.
    entry_versions
        Versions of the changed entries; one that is in neither table was
        deleted.
    is_current
        Whether the sender hears a leader, and so would know of newer tables.
    """

    since: int
    version: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    entry_versions: dict[str, int]
    is_current: bool = True


class Edit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of one entry, as an operator sends it.

    Attributes
    ----------
    edit_id
        Chosen by the operator; a repeated id gets the first outcome again.
    expected_version
        Version of the entry that the operator saw; 0 for a new entry.
    route, pool
        The new entry of the matching kind; neither is set for a deletion.
    """

    edit_id: str
    kind: EntryKind
    name: str
    expected_version: int
    route: Route | None = None
    pool: Pool | None = None


class Finding(msgspec.Struct, frozen=True):
    """One thing that is wrong, and where.

    Attributes
    ----------
    place
        File with line and column, or the path of a key.
    """

    place: str
    message: str


class Accepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The edit is committed, as this version of the table."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag='conflict'):
    """Another edit changed the entry first."""

    winner_edit_id: str
    winner_version: int


class Refused(msgspec.Struct, frozen=True, tag='refused'):
    """The edit is not valid."""

    findings: tuple[Finding, ...]


class NoQuorum(msgspec.Struct, frozen=True, tag='no-quorum'):
    """No majority of the control replicas can be reached; nothing was kept."""

    leader_id: str | None


class Overloaded(msgspec.Struct, frozen=True, tag='overloaded'):
    """Too many edits wait for their commit; this one was not kept."""


class Unknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The edit was sent on, but not confirmed; resend it with the same id."""


EditOutcome = Accepted | Conflict | Refused | NoQuorum | Overloaded | Unknown


class RepeatedEdit(msgspec.Struct, frozen=True, tag='repeated'):
    """The edit id was seen before; its first outcome holds."""

    first: EditOutcome
