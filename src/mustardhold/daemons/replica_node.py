"""A control replica with its disk, its links and its pending proposals."""

import logging
import os
import random
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.disk import FolderDisk, close_folder, open_folder
from mustardhold.adapters.http_client import HttpClient
from mustardhold.adapters.replica_reload import ensure_reloaded, save_step
from mustardhold.adapters.replica_store import (
    ReplicaStore,
    open_identity,
    open_store,
    save_commit,
)
from mustardhold.daemons.error_reporting import ErrorReporter, report_error
from mustardhold.daemons.replica_links import Links, send_message
from mustardhold.daemons.replica_logs import (
    LoggedReplica,
    log_changes,
    log_snapshots,
)
from mustardhold.daemons.table_handlers import TablePublisher, wake_watchers
from mustardhold.systems import consensus
from mustardhold.systems.election import has_leader_contact, has_lease
from mustardhold.tables.consensus import (
    Applied,
    AppliedEdit,
    AppliedEvacuation,
    Effects,
    Pending,
    Replica,
    ReplicaMember,
    ReplicaMessage,
)
from mustardhold.tables.constants import REPLICA_TICK
from mustardhold.tables.observations import Observations
from mustardhold.tables.options import ControlOptions, GrowthPolicy
from mustardhold.tables.routing import (
    Accepted,
    EditOutcome,
    RepeatedEdit,
    Unknown,
)

UID_BYTES = 16

AnyOutcome = EditOutcome | RepeatedEdit
Proposed = TypeVar('Proposed')


@dataclass(slots=True)
class PendingProposal:
    """A proposal of this leader that is not committed yet.

    Attributes
    ----------
    term
        Term of its log entry; 0 if none was appended.
    done
        Set once the outcome is final or the entry was given up.
    outcome
        Unknown until the entry is applied.
    """

    term: int
    done: trio.Event = field(default_factory=trio.Event)
    outcome: AnyOutcome = field(default_factory=Unknown)


def ignore_applied() -> None:
    """Do nothing after a step that applied log entries."""


@dataclass(slots=True)
class ReplicaNode:
    """State of a running control replica.

    Attributes
    ----------
    failure
        Error of a failed step; the replica processes nothing after it.
    on_applied
        Called after each step that applied log entries or a snapshot.
    logged
        What was logged of the replica last.
    data_centres
        Data centres that the settings name; only these may be evacuated.
    logged_revision
        Revision of the evacuated data centres that was logged last.
    """

    options: ControlOptions
    disk: FolderDisk
    store: ReplicaStore
    replica: Replica
    table_publisher: TablePublisher
    clock: Clock
    log: logging.Logger
    stopping: trio.Event
    http_client: HttpClient
    error_reporter: ErrorReporter
    links: Links | None = None
    observations: Observations = field(default_factory=Observations)
    proposals_by_index: dict[int, PendingProposal] = field(default_factory=dict)
    failure: Exception | None = None
    on_applied: Callable[[], None] = ignore_applied
    logged: LoggedReplica = field(default_factory=LoggedReplica)
    data_centres: frozenset[str] = frozenset()
    logged_revision: int = 0


def make_node(
    options: ControlOptions,
    clock: Clock,
    log: logging.Logger,
    growth: GrowthPolicy | None = None,
) -> ReplicaNode:
    """Open a replica's data folder and restore its state.

    Parameters
    ----------
    growth
        Policy by which members change without an operator.
    """
    disk = open_folder(Path(options.folder))
    instance_id = options.instance_id
    new_uid = f'{instance_id}/{os.urandom(UID_BYTES).hex()}'
    identity = open_identity(disk, instance_id, new_uid)
    store, saved = open_store(disk)
    local_member = ReplicaMember(
        identity.uid,
        instance_id,
        options.http_address,
        data_centre=options.data_centre,
    )
    peers = tuple(
        ReplicaMember('', peer.instance_id, peer.http_address)
        for peer in options.replicas
    )
    replica = consensus.make_replica(
        local_member, peers or (local_member,), random.random, clock.monotonic()
    )
    replica.growth = growth
    consensus.restore_replica(replica, saved)
    table_publisher = TablePublisher(
        lambda: replica.edits.table,
        lambda: has_leader_contact(replica, clock.monotonic()),
        clock,
    )
    return ReplicaNode(
        options,
        disk,
        store,
        replica,
        table_publisher,
        clock,
        log,
        trio.Event(),
        HttpClient(),
        ErrorReporter(log, replica.counters),
    )


def close_node(node: ReplicaNode) -> None:
    """Close and unlock the data folder."""
    close_folder(node.disk)


def end_proposals(node: ReplicaNode) -> None:
    """End the pending proposals; their outcome stays unknown."""
    for pending in node.proposals_by_index.values():
        pending.done.set()
    node.proposals_by_index.clear()


@contextmanager
def stopping_on_failure(node: ReplicaNode) -> Iterator[None]:
    """Stop the process if a step fails.

    Its memory may then hold state that was not saved, so nothing may be sent
    or answered from it. Later steps raise the same error without running.
    """
    if node.failure is not None:
        raise node.failure
    try:
        yield
    except Exception as error:
        node.failure = error
        node.log.exception('replica step failed; stopping')
        node.stopping.set()
        raise


def execute_effects(node: ReplicaNode, effects: Effects) -> None:
    """Save, send and respond, in this order.

    If the disk is full, nothing is sent or answered, and the state in memory
    returns to the saved one.
    """
    now = node.clock.monotonic()
    error = save_step(node.store, node.replica, now, effects)
    if error is not None:
        report_error(node.error_reporter, 'disk-full', error)
        end_proposals(node)
        log_changes(node.log, node.logged, node.replica)
        return
    if node.links is not None:
        for outgoing in effects.sends:
            send_message(node.links, outgoing)
    for applied in effects.applied:
        complete_proposal(node, applied)
    if effects.applied or effects.snapshot is not None:
        wake_watchers(node.table_publisher)
        node.on_applied()
    log_changes(node.log, node.logged, node.replica)
    log_snapshots(node.log, effects)
    if effects.applied:
        save_commit_index(node)


def save_commit_index(node: ReplicaNode) -> None:
    """Save the commit index on disk; nothing is lost if this fails."""
    try:
        save_commit(node.store, node.replica.commit_index)
    except OSError as error:
        report_error(node.error_reporter, 'commit-not-noted', error)


def step_replica(node: ReplicaNode, message: ReplicaMessage) -> None:
    """Process a message of another replica and execute its effects."""
    with stopping_on_failure(node):
        now = node.clock.monotonic()
        if ensure_reloaded(node.store, node.replica, now):
            execute_effects(node, consensus.step(node.replica, now, message))


def submit_proposal(
    node: ReplicaNode, propose: Callable[[float], tuple[Proposed, Effects]]
) -> tuple[Proposed, PendingProposal]:
    """Propose a command to the replica and execute its effects.

    Parameters
    ----------
    propose
        Receives the time of the local clock; returns the immediate result and
        the effects to execute.

    Returns
    -------
    tuple
        The immediate result, and the pending proposal that gets the outcome.
    """
    with stopping_on_failure(node):
        proposed, effects = propose(node.clock.monotonic())
        pending = PendingProposal(0)
        if isinstance(proposed, Pending):
            pending.term = proposed.term
            node.proposals_by_index[proposed.index] = pending
        execute_effects(node, effects)
    return proposed, pending


def complete_proposal(node: ReplicaNode, applied: Applied) -> None:
    """Set the outcome of the pending proposal for an applied entry.

    It stays unknown if the entry has another term: then another command was
    committed at its index.
    """
    pending = node.proposals_by_index.pop(applied.index, None)
    if pending is None:
        return
    if pending.term == applied.term:
        pending.outcome = outcome_of(node, applied)
    pending.done.set()


def outcome_of(node: ReplicaNode, applied: Applied) -> AnyOutcome:
    """Return the outcome of an applied command."""
    if isinstance(applied, AppliedEdit):
        return applied.outcome
    if isinstance(applied, AppliedEvacuation):
        return Accepted(applied.revision)
    return Accepted(node.replica.configuration.version)


async def run_replica(node: ReplicaNode) -> None:
    """Run the timer tick of a replica until a step fails."""
    while node.failure is None:
        with suppress(Exception), stopping_on_failure(node):
            now = node.clock.monotonic()
            if ensure_reloaded(node.store, node.replica, now):
                execute_effects(node, consensus.tick(node.replica, now))
        await trio.sleep(REPLICA_TICK.total_seconds())


def is_leading(node: ReplicaNode) -> bool:
    """Return whether this replica is the leader and holds its lease."""
    return has_lease(node.replica, node.clock.monotonic())


def counters_of(node: ReplicaNode) -> Mapping[str, int]:
    """Return the counters by ``"subject/event"``."""
    return {
        '/'.join(key): count for key, count in node.replica.counters.items()
    }
