"""Proposals and reads of evacuation orders at a control replica."""

from mustardhold.systems.consensus import (
    CommandProposalResult,
    is_confirmed_leader,
    propose_command,
    reader_elsewhere,
)
from mustardhold.tables.consensus import (
    Effects,
    EvacuationCommand,
    NotLeader,
    Replica,
    Role,
)
from mustardhold.tables.evacuations import EvacuationOrder, EvacuationState


def propose_evacuation(
    replica: Replica, now: float, order: EvacuationOrder
) -> tuple[CommandProposalResult, Effects]:
    """Append an evacuation order to the log if this replica is the leader.

    Each order is appended, even one that would change nothing now: an earlier
    one that is not committed yet may change the state before it.
    """
    effects = Effects()
    if replica.role is not Role.LEADER:
        return NotLeader(replica.leader), effects
    command = EvacuationCommand(order)
    return propose_command(replica, now, command, effects), effects


def read_evacuations(
    replica: Replica, now: float
) -> EvacuationState | NotLeader:
    """Return the evacuated data centres if this leader is confirmed."""
    if is_confirmed_leader(replica, now):
        return replica.evacuations
    return reader_elsewhere(replica)
