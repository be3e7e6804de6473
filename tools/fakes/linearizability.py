"""Checks that concurrent edits of an entry could have run one by one."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from mustardhold.tables.routing import Accepted, Conflict


@dataclass(slots=True)
class Call:
    """One edit as its operator saw it.

    Attributes
    ----------
    expected_version
        Version of the entry that the edit replaces.
    returned_at
        Infinite where no certain answer came.
    outcome
        None where the edit may have been applied or not.
    """

    edit_id: str
    entry: str
    expected_version: int
    called_at: float
    returned_at: float = math.inf
    outcome: Accepted | Conflict | None = None


@dataclass(frozen=True, slots=True)
class EntryState:
    """Version of an entry, and the edit that made it."""

    version: int = 0
    edit_id: str = ''


DeadEnd = tuple[frozenset[str], EntryState]


@dataclass(slots=True)
class Search:
    """A search for an order of the calls of one entry.

    Attributes
    ----------
    unexplained
        Versions that calls name, but no answered call has made.
    dead
        Open calls and state from which no order is left.
    """

    unexplained: set[int]
    dead: set[DeadEnd] = field(default_factory=set)


def find_order(calls: Sequence[Call]) -> list[str] | None:
    """Find an order of the calls of one entry that explains the outcomes.

    A call without an answer may take effect late or never.

    Returns
    -------
    list or None
        The edit ids in a fitting order, or None where there is none.
    """
    made = {
        call.outcome.version
        for call in calls
        if isinstance(call.outcome, Accepted)
    }
    named = {call.expected_version for call in calls}
    named.update(
        call.outcome.winner_version
        for call in calls
        if isinstance(call.outcome, Conflict)
    )
    return search(Search(named - made - {0}), list(calls), EntryState())


def next_states(
    found: Search, state: EntryState, call: Call
) -> list[EntryState]:
    """Return the states that a call may lead to, none if it does not fit."""
    fits = call.expected_version == state.version
    match call.outcome:
        case Accepted(version=version):
            versions = {version}
        case Conflict(winner_edit_id=winner, winner_version=version):
            seen = EntryState(version, winner)
            return [state] if not fits and seen == state else []
        case _:
            versions = found.unexplained
    return [
        EntryState(version, call.edit_id)
        for version in versions
        if fits and version > state.version
    ]


def search(
    found: Search, waiting: list[Call], state: EntryState
) -> list[str] | None:
    """Try every call that no other one has to precede."""
    horizon = min((call.returned_at for call in waiting), default=math.inf)
    if math.isinf(horizon):
        return []
    key = (frozenset(call.edit_id for call in waiting), state)
    if key in found.dead:
        return None
    for call in waiting:
        if call.called_at > horizon:
            continue
        rest = [other for other in waiting if other is not call]
        for following in next_states(found, state, call):
            order = search(found, rest, following)
            if order is not None:
                return [call.edit_id, *order]
    found.dead.add(key)
    return None
