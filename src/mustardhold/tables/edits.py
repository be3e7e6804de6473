"""State machine of the control replicas: tables and outcomes of edits."""

from dataclasses import dataclass, field

import msgspec

from mustardhold.tables.routing import (
    EditOutcome,
    RoutingTable,
    empty_table,
)


class EditOrigin(msgspec.Struct, frozen=True):
    """Log position of an edit, and the leader that appended it.

    Attributes
    ----------
    leader_id
        Instance that accepted the edit as the leader.
    taken_at
        Wall-clock time of the leader, in seconds since 1970-01-01 UTC.
    """

    leader_id: str
    taken_at: float
    term: int
    index: int


class EditRecord(msgspec.Struct, frozen=True):
    """First outcome of an edit id, and the origin of the edit."""

    outcome: EditOutcome
    origin: EditOrigin | None = None


@dataclass(slots=True)
class EditState:
    """The tables, and the outcomes of the latest edit ids.

    Attributes
    ----------
    records_by_edit_id
        Outcomes in the order of the log; at most ``MAX_EDIT_RECORDS``.
    last_edit_by_entry
        Id of the latest edit of each entry, by ``"kind/name"``.
    """

    table: RoutingTable = field(default_factory=empty_table)
    records_by_edit_id: dict[str, EditRecord] = field(default_factory=dict)
    last_edit_by_entry: dict[str, str] = field(default_factory=dict)
