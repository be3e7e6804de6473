"""Log lines about what a control replica decides and believes of its group."""

import logging
from dataclasses import dataclass

from mustardhold.tables.consensus import (
    Effects,
    Replica,
    Role,
    SnapshotRequest,
)


@dataclass(slots=True)
class LoggedReplica:
    """What was logged last, so that only changes are logged.

    Attributes
    ----------
    role, term
        Role and term of the replica.
    members_index
        Index of the log entry that holds its members.
    """

    role: Role = Role.FOLLOWER
    term: int = 0
    members_index: int = 0


def log_changes(
    log: logging.Logger, logged: LoggedReplica, replica: Replica
) -> None:
    """Log a change of the leadership or of the members."""
    log_role(log, logged, replica)
    if replica.members_index == logged.members_index:
        return
    logged.members_index = replica.members_index
    log.info(
        'members changed',
        extra={
            'index': replica.members_index,
            'voters': [one.uid for one in replica.members if one.is_voter],
            'learners': [
                one.uid for one in replica.members if not one.is_voter
            ],
        },
    )


def log_role(
    log: logging.Logger, logged: LoggedReplica, replica: Replica
) -> None:
    """Log when a replica becomes the leader or ceases to be it."""
    role, term = replica.role, replica.vote.term
    if (role, term) == (logged.role, logged.term):
        return
    was_leader = logged.role is Role.LEADER
    logged.role = role
    logged.term = term
    if was_leader or role is Role.LEADER:
        log.info('leadership changed', extra={'role': role, 'term': term})


def log_snapshots(log: logging.Logger, effects: Effects) -> None:
    """Log the snapshots that a step sends."""
    for outgoing in effects.sends:
        if isinstance(outgoing.message, SnapshotRequest):
            log.info(
                'snapshot sent',
                extra={
                    'receiver': outgoing.receiver.uid,
                    'index': outgoing.message.snapshot.index,
                },
            )
