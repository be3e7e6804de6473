"""What the control replicas keep of the edits."""

from dataclasses import dataclass, field

import msgspec

from mustardhold.tables.routing import (
    EditOutcome,
    RoutingTable,
    empty_table,
)


class EditOrigin(msgspec.Struct, frozen=True):
    """Where an edit entered the log.

    Attributes
    ----------
    leader_id
        Instance that was the leader and took the edit.
    taken_at
        Time of day at the leader, in seconds since 1970 in UTC.
    """

    leader_id: str
    taken_at: float
    term: int
    index: int


class EditRecord(msgspec.Struct, frozen=True):
    """First outcome of an edit id, and where it came from."""

    outcome: EditOutcome
    origin: EditOrigin | None = None


@dataclass(slots=True)
class EditState:
    """The tables, and what is remembered of the latest edit ids.

    Attributes
    ----------
    records_by_edit_id
        In the order of the log; limited to ``MAX_EDIT_RECORDS``.
    last_edit_by_entry
        Edit that changed an entry last, by ``"kind/name"``.
    """

    table: RoutingTable = field(default_factory=empty_table)
    records_by_edit_id: dict[str, EditRecord] = field(default_factory=dict)
    last_edit_by_entry: dict[str, str] = field(default_factory=dict)
