"""A linearizability checker for concurrent edits of an entry."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from mustardhold.tables.routing import Accepted, Conflict


@dataclass(slots=True)
class Call:
    """One edit with its call and return times and its outcome.

    Attributes
    ----------
    expected_version
        Version of the entry that the edit replaces.
    returned_at
        Infinite if no definite outcome was received.
    outcome
        None if it is unknown whether the edit was applied.
    """

    edit_id: str
    entry: str
    expected_version: int
    called_at: float
    returned_at: float = math.inf
    outcome: Accepted | Conflict | None = None


@dataclass(frozen=True, slots=True)
class EntryState:
    """Version of an entry, and the edit that produced it."""

    version: int = 0
    edit_id: str = ''


DeadEnd = tuple[frozenset[str], EntryState]


@dataclass(slots=True)
class Search:
    """State of the search for a linearization of one entry's calls.

    Attributes
    ----------
    unexplained_versions
        Versions that calls refer to but no accepted call has produced.
    dead_ends
        Remaining calls and states from which no linearization exists.
    """

    unexplained_versions: set[int]
    dead_ends: set[DeadEnd] = field(default_factory=set)


def find_order(calls: Sequence[Call]) -> list[str] | None:
    """Find a linearization of the calls of one entry.

    A call without an outcome may take effect late or never.

    Returns
    -------
    list or None
        The edit ids in a valid order, or None if there is none.
    """
    produced = {
        call.outcome.version
        for call in calls
        if isinstance(call.outcome, Accepted)
    }
    referenced = {call.expected_version for call in calls}
    referenced.update(
        call.outcome.winner_version
        for call in calls
        if isinstance(call.outcome, Conflict)
    )
    return search(
        Search(referenced - produced - {0}), list(calls), EntryState()
    )


def next_states(
    progress: Search, state: EntryState, call: Call
) -> list[EntryState]:
    """Return the states a call may lead to, empty if it can't come next.

    A call of unknown outcome may have produced any unexplained version.
    """
    is_expected = call.expected_version == state.version
    match call.outcome:
        case Accepted(version=version):
            versions = {version}
        case Conflict(winner_edit_id=winner, winner_version=version):
            reported = EntryState(version, winner)
            return [state] if not is_expected and reported == state else []
        case _:
            versions = progress.unexplained_versions
    return [
        EntryState(version, call.edit_id)
        for version in versions
        if is_expected and version > state.version
    ]


def search(
    progress: Search, remaining: list[Call], state: EntryState
) -> list[str] | None:
    """Try each call that was sent by the earliest return, depth first."""
    horizon = min((call.returned_at for call in remaining), default=math.inf)
    if math.isinf(horizon):
        return []
    key = (frozenset(call.edit_id for call in remaining), state)
    if key in progress.dead_ends:
        return None
    for call in remaining:
        if call.called_at > horizon:
            continue
        rest = [other for other in remaining if other is not call]
        for next_state in next_states(progress, state, call):
            order = search(progress, rest, next_state)
            if order is not None:
                return [call.edit_id, *order]
    progress.dead_ends.add(key)
    return None
