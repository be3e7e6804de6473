"""One control replica with its disk, its links and its waiting edits."""

import errno
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
from mustardhold.adapters.replica_store import (
    ReplicaStore,
    open_identity,
    open_store,
    save_commit,
    save_effects,
)
from mustardhold.daemons.error_reporting import ErrorReporter, report_error
from mustardhold.daemons.replica_links import Links, send_message
from mustardhold.daemons.table_handlers import TablePublisher, wake_watchers
from mustardhold.systems import consensus
from mustardhold.systems.election import has_leader_contact, has_lease
from mustardhold.tables.consensus import (
    Applied,
    AppliedEdit,
    Effects,
    Pending,
    Replica,
    ReplicaMember,
    ReplicaMessage,
    Role,
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
DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)

AnyOutcome = EditOutcome | RepeatedEdit
Proposed = TypeVar('Proposed')


@dataclass(slots=True)
class PendingProposal:
    """An edit of this leader that is not committed yet."""

    term: int
    done: trio.Event = field(default_factory=trio.Event)
    outcome: AnyOutcome = field(default_factory=Unknown)


def ignore_applied() -> None:
    """Tell nobody that something was applied."""


@dataclass(slots=True)
class ReplicaNode:
    """A running control replica.

    Attributes
    ----------
    on_applied
        Called after each step that applied something.
    failure
        Why a step failed; nothing goes on after it.
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
    logged_role: tuple[Role, int] = (Role.FOLLOWER, 0)


def make_node(
    options: ControlOptions,
    clock: Clock,
    log: logging.Logger,
    growth: GrowthPolicy | None = None,
) -> ReplicaNode:
    """Open a replica's folder and rebuild its state.

    Parameters
    ----------
    growth
        How the members change without an operator.
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
    consensus.restore_replica(
        replica,
        saved.vote,
        saved.snapshot,
        saved.log,
        saved.commit_index,
    )
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
    """Release the folder."""
    close_folder(node.disk)


def reload_from_disk(node: ReplicaNode) -> None:
    """Forget what a full disk refused, and whoever waits for it."""
    store, saved = open_store(node.disk)
    node.store = store
    now = node.clock.monotonic()
    consensus.reload_saved_state(
        node.replica, now, saved.vote, saved.snapshot, saved.log
    )
    for pending in node.proposals_by_index.values():
        pending.done.set()
    node.proposals_by_index.clear()
    log_role(node)


@contextmanager
def stopping_on_failure(node: ReplicaNode) -> Iterator[None]:
    """End the process where a step fails between its state and its disk.

    Its memory then holds what was not saved, so nothing may follow from it.
    """
    if node.failure is not None:
        raise node.failure
    try:
        yield
    except Exception as error:
        node.failure = error
        node.log.exception('replica failed')
        node.stopping.set()
        raise


def execute_effects(node: ReplicaNode, effects: Effects) -> None:
    """Save, send and answer, in this order.

    Where the disk is full, nothing is sent or answered, and the memory
    returns to what is saved.
    """
    try:
        save_effects(node.store, effects, node.replica.log)
    except OSError as error:
        if error.errno not in DISK_FULL_ERRORS:
            raise
        report_error(node.error_reporter, 'disk-full', error)
        reload_from_disk(node)
        return
    if node.links is not None:
        for outgoing in effects.sends:
            send_message(node.links, outgoing)
    for applied in effects.applied:
        complete_proposal(node, applied)
    if effects.applied or effects.snapshot is not None:
        wake_watchers(node.table_publisher)
    log_role(node)
    if effects.applied:
        node.on_applied()
        save_commit_index(node)


def save_commit_index(node: ReplicaNode) -> None:
    """Note on disk what is committed; without the note nothing is lost."""
    try:
        save_commit(node.store, node.replica.commit_index)
    except OSError as error:
        report_error(node.error_reporter, 'commit-not-noted', error)


def step_replica(node: ReplicaNode, message: ReplicaMessage) -> None:
    """Act on a message of another replica."""
    with stopping_on_failure(node):
        now = node.clock.monotonic()
        execute_effects(node, consensus.step(node.replica, now, message))


def submit_proposal(
    node: ReplicaNode, propose: Callable[[float], tuple[Proposed, Effects]]
) -> tuple[Proposed, PendingProposal]:
    """Propose something to the replica, and wait for its place in the log.

    Parameters
    ----------
    propose
        Takes the time; returns what came of it, and what has to follow.
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
    """Hand the outcome of what was applied to whoever waits for it."""
    pending = node.proposals_by_index.pop(applied.index, None)
    if pending is None:
        return
    if pending.term == applied.term:
        pending.outcome = outcome_of(node, applied)
    pending.done.set()


def outcome_of(node: ReplicaNode, applied: Applied) -> AnyOutcome:
    """Return what an applied command came to."""
    if isinstance(applied, AppliedEdit):
        return applied.outcome
    return Accepted(node.replica.configuration.version)


def log_role(node: ReplicaNode) -> None:
    """Log that a replica began or ceased to lead."""
    role_and_term = (node.replica.role, node.replica.vote.term)
    if role_and_term == node.logged_role:
        return
    was_leader = node.logged_role[0] is Role.LEADER
    node.logged_role = role_and_term
    if was_leader or role_and_term[0] is Role.LEADER:
        node.log.info(
            'leadership changed',
            extra={'role': role_and_term[0], 'term': role_and_term[1]},
        )


async def run_replica(node: ReplicaNode) -> None:
    """Let a replica act on the time, until a step fails."""
    while node.failure is None:
        with suppress(Exception), stopping_on_failure(node):
            now = node.clock.monotonic()
            execute_effects(node, consensus.tick(node.replica, now))
        await trio.sleep(REPLICA_TICK.total_seconds())


def is_leading(node: ReplicaNode) -> bool:
    """Tell whether the replica leads a majority now."""
    return has_lease(node.replica, node.clock.monotonic())


def counters_of(node: ReplicaNode) -> Mapping[str, int]:
    """Return the counters by ``"subject/event"``."""
    return {
        '/'.join(key): count for key, count in node.replica.counters.items()
    }
