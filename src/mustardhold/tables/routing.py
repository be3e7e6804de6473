"""Routes and pools, the two tables of the operators, and their edits."""

from enum import StrEnum

import msgspec


class EntryKind(StrEnum):
    """Table that an edit applies to."""

    ROUTE = 'route'
    POOL = 'pool'


class Weighting(StrEnum):
    """Goal that a pool prefers where affinity and balance conflict."""

    AFFINITY = 'affinity'
    BALANCE = 'balance'


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assigns addresses to the service of the same name.

    Attributes
    ----------
    addresses
        IPv4 addresses and ports that callers connect to, as ``"ip:port"``.
    """

    name: str
    addresses: tuple[str, ...]


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Selects the backend servers for the service of the same name.

    Attributes
    ----------
    servers
        Patterns of backend server ids; ``*`` matches any characters.
    drained
        Ids of backend servers that receive no new flows.
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
        Number of accepted edits up to this table.
    entry_versions
        Version at which each entry was last changed, by ``"kind/name"``.
    """

    version: int
    routes_by_name: dict[str, Route]
    pools_by_name: dict[str, Pool]
    entry_versions: dict[str, int]


def empty_table() -> RoutingTable:
    """Return the table before the first edit."""
    return RoutingTable(0, {}, {}, {})


class TableChanges(msgspec.Struct, frozen=True):
    """Changes from one version of both tables to a later one.

    Attributes
    ----------
    since
        Version that the changes apply to; 0 for the complete tables.
    entry_versions
        Versions of the changed entries; an entry that is in neither ``routes``
        nor ``pools`` was deleted.
    is_current
        Whether the sender is in contact with a leader, and so has the latest
        tables.
    """

    since: int
    version: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    entry_versions: dict[str, int]
    is_current: bool = True


class Edit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of one entry, as sent by an operator.

    Attributes
    ----------
    edit_id
        Chosen by the operator; a repeated id returns the first outcome.
    expected_version
        Version of the entry that the operator edited; 0 for a new entry.
    route, pool
        The new entry, in the field that matches ``kind``; neither is set for a
        deletion.
    """

    edit_id: str
    kind: EntryKind
    name: str
    expected_version: int
    route: Route | None = None
    pool: Pool | None = None


class Finding(msgspec.Struct, frozen=True):
    """An error in an input, and its location.

    Attributes
    ----------
    place
        File with line and column, or the path of a key.
    """

    place: str
    message: str


class Accepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The edit was committed and resulted in this version of the table."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag='conflict'):
    """Another edit changed the entry since the expected version."""

    winner_edit_id: str
    winner_version: int


class Refused(msgspec.Struct, frozen=True, tag='refused'):
    """The edit is not valid."""

    findings: tuple[Finding, ...]


class NoQuorum(msgspec.Struct, frozen=True, tag='no-quorum'):
    """No majority of the control replicas can be reached; nothing changed."""

    leader_id: str | None


class Overloaded(msgspec.Struct, frozen=True, tag='overloaded'):
    """Too many edits wait for their commit; this one was rejected."""


class Unknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The edit was forwarded but not confirmed; resend it with the same id."""


EditOutcome = Accepted | Conflict | Refused | NoQuorum | Overloaded | Unknown


class RepeatedEdit(msgspec.Struct, frozen=True, tag='repeated'):
    """The edit id was used before; its first outcome stands."""

    first: EditOutcome
