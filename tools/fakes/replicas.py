"""Control replicas on a simulated network and disks, in virtual time."""

import functools
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from mustardhold.adapters.records import DamagedFileError
from mustardhold.adapters.replica_reload import ensure_reloaded, save_step
from mustardhold.adapters.replica_store import (
    ReplicaStore,
    open_identity,
    open_store,
    save_commit,
    save_effects,
)
from mustardhold.systems import consensus
from mustardhold.systems.replica_log import CommitContradictedError
from mustardhold.tables.consensus import (
    Applied,
    AppliedEdit,
    AppliedEvacuation,
    Effects,
    NotLeader,
    Pending,
    Replica,
    ReplicaMember,
    ReplicaMessage,
    ReplicaSend,
    Role,
    SnapshotRequest,
)
from mustardhold.tables.options import GrowthPolicy
from mustardhold.tables.routing import (
    Accepted,
    Edit,
    EditOutcome,
    NoQuorum,
    RepeatedEdit,
    RoutingTable,
    Unknown,
)
from tools.fakes.disks import CrashError, FakeDisk, crash
from tools.fakes.event_queue import (
    Action,
    EventQueue,
    make_queue,
    schedule,
    schedule_every,
)
from tools.fakes.network import Network, send

TICK_SECONDS = 0.05
AnyOutcome = EditOutcome | RepeatedEdit
Reply = Callable[[AnyOutcome], None]
Propose = Callable[[Replica, float], tuple[consensus.ProposalResult, Effects]]


@dataclass(slots=True)
class Node:
    """A control process and its disk.

    Attributes
    ----------
    replica
        None while the process is down.
    replies_by_index
        Term and reply callback of the entries whose outcome is awaited.
    backlog
        Actions queued for a frozen process; None unless it is frozen.
    """

    name: str
    disk: FakeDisk
    replica: Replica | None = None
    store: ReplicaStore | None = None
    replies_by_index: dict[int, tuple[int, Reply]] = field(default_factory=dict)
    backlog: list[Action] | None = None
    starts: int = 0


@dataclass(slots=True)
class Group:
    """Control replicas, and the first table that any had at each version.

    Attributes
    ----------
    uid_by_name
        Fixed identities of data directories, for naive versions.
    is_deduplicating
        Whether edits retain their ids; if not, each gets a unique id.
    tables_by_version, ambiguous_versions
        First table observed at each version; versions with two contents.
    contradictions
        Errors of replicas that were asked to drop a committed entry.
    seeds
        Replicas named in the settings; all replicas if empty.
    voters
        Target number of voters for automatic growth; 0 disables it.
    is_reloading
        Whether a replica returns to its saved state when the disk is full; if
        not, its process ends.
    ended
        Names of the processes that ended by themselves.
    snapshot_seconds
        Time that a snapshot takes on a link, where later messages wait for it.
    link_free_at
        When the messages sent so far have passed a link from one to another.
    """

    queue: EventQueue
    network: Network
    nodes_by_name: dict[str, Node]
    uid_by_name: dict[str, str] = field(default_factory=dict)
    is_deduplicating: bool = True
    tables_by_version: dict[int, RoutingTable] = field(default_factory=dict)
    ambiguous_versions: list[int] = field(default_factory=list)
    contradictions: list[str] = field(default_factory=list)
    renamed_edits: int = 0
    seeds: tuple[str, ...] = ()
    voters: int = 0
    is_reloading: bool = True
    ended: list[str] = field(default_factory=list)
    snapshot_seconds: float = 0
    link_free_at: dict[tuple[str, str], float] = field(default_factory=dict)


def make_group(
    seed: int,
    names: tuple[str, ...],
    *,
    syncing: bool,
    seeds: tuple[str, ...] = (),
    voters: int = 0,
) -> Group:
    """Make replicas with empty disks and start them."""
    queue = make_queue(seed)
    network = Network(queue, loss=0.02, repeats=0.02)
    nodes = {
        name: Node(name, make_disk(queue, syncing=syncing)) for name in names
    }
    group = Group(queue, network, nodes, seeds=seeds, voters=voters)
    for name in names:
        start_ticking(group, name)
    return group


def add_node(group: Group, name: str, *, syncing: bool) -> None:
    """Add a process with an empty disk to an existing group."""
    node = Node(name, make_disk(group.queue, syncing=syncing), starts=1)
    group.nodes_by_name[name] = node
    start_ticking(group, name)


def start_ticking(group: Group, name: str) -> None:
    """Start a process and its periodic ticks."""
    start(group, name)
    schedule_every(
        group.queue, TICK_SECONDS, functools.partial(tick, group, name)
    )


def make_disk(queue: EventQueue, *, syncing: bool) -> FakeDisk:
    """Make an empty disk with a separate random generator."""
    return FakeDisk(random.Random(queue.rng.random()), is_syncing=syncing)


def unidentified_member(name: str) -> ReplicaMember:
    """Make a member with a name and an unknown replica uid."""
    return ReplicaMember('', name, name)


def start(group: Group, name: str) -> None:
    """Start a process and restore its replica from disk."""
    node = group.nodes_by_name[name]
    node.starts += 1
    new_uid = f'{name}/{node.starts}'
    uid = group.uid_by_name.get(name, new_uid)
    identity = open_identity(node.disk, name, uid)
    store, saved = open_store(node.disk)
    replica = consensus.make_replica(
        ReplicaMember(identity.uid, name, name),
        tuple(map(unidentified_member, group.seeds or group.nodes_by_name)),
        random.Random(group.queue.rng.random()).random,
        group.queue.now,
    )
    if group.voters:
        # A group may be formed only on the first start of a process.
        replica.growth = GrowthPolicy(group.voters, node.starts == 1)
    consensus.restore_replica(replica, saved)
    node.replica = replica
    node.store = store
    group.network.down.discard(name)


def kill(group: Group, name: str) -> None:
    """Kill a process; its disk may lose data that was not synced."""
    node = group.nodes_by_name[name]
    node.replica = None
    node.store = None
    node.backlog = None
    node.replies_by_index.clear()
    group.network.down.add(name)
    crash(node.disk)


def wipe(group: Group, name: str) -> None:
    """Kill a process and replace its disk by an empty one."""
    kill(group, name)
    node = group.nodes_by_name[name]
    node.disk = make_disk(group.queue, syncing=node.disk.is_syncing)


def restart_later(group: Group, name: str, delay: float) -> None:
    """Restart a process after a delay in seconds, unless it runs by then."""

    def restart() -> None:
        node = group.nodes_by_name[name]
        node.disk.bytes_left = None
        if node.replica is not None:
            return
        try:
            start(group, name)
        except DamagedFileError:
            if node.disk.is_syncing:
                raise
            wipe(group, name)
            start(group, name)
        except (CrashError, OSError):
            kill(group, name)
            restart_later(group, name, delay)

    schedule(group.queue, delay, restart)


def freeze(group: Group, name: str, seconds: float) -> None:
    """Freeze a process; deliveries wait until it is thawed."""
    node = group.nodes_by_name[name]
    if node.backlog is not None or node.replica is None:
        return
    node.backlog = []

    def thaw() -> None:
        backlog = node.backlog or []
        node.backlog = None
        for action in backlog:
            run_on_node(group, name, action)

    schedule(group.queue, seconds, thaw)


def run_on_node(group: Group, name: str, action: Action) -> None:
    """Run an action on a running process; a failed disk kills it.

    While the process is frozen the action waits in its backlog.
    """
    node = group.nodes_by_name[name]
    if node.backlog is not None:
        node.backlog.append(action)
        return
    if node.replica is None:
        return
    try:
        action()
    except CommitContradictedError as error:
        group.contradictions.append(f'{name}: {error}')
        restart_after_failure(group, name)
    except (CrashError, OSError):
        restart_after_failure(group, name)


def restart_after_failure(group: Group, name: str) -> None:
    """Kill a process that cannot continue, and restart it later."""
    group.ended.append(name)
    kill(group, name)
    restart_later(group, name, group.queue.rng.uniform(0.2, 3))


def tick(group: Group, name: str) -> None:
    """Run a tick of a process unless it is frozen."""
    node = group.nodes_by_name[name]
    if node.backlog is None:
        run_on_node(group, name, lambda: run_tick(group, node))


def run_tick(group: Group, node: Node) -> None:
    """Run the tick of a replica and perform its effects."""
    if node.replica is not None and may_step(group, node):
        perform_effects(
            group, node, consensus.tick(node.replica, group.queue.now)
        )


def perform_effects(group: Group, node: Node, effects: Effects) -> None:
    """Save effects, then send messages, then reply to applied entries."""
    if node.replica is None or node.store is None:
        return
    if not group.is_reloading:
        save_effects(node.store, effects, node.replica.log)
    elif save_step(node.store, node.replica, group.queue.now, effects):
        end_replies(node)
        return
    for outgoing in effects.sends:
        send_message(group, node.name, outgoing)
    for applied in effects.applied:
        term, reply = node.replies_by_index.pop(
            applied.index, (0, lambda _: None)
        )
        reply(applied_outcome(applied) if term == applied.term else Unknown())
    if effects.applied or effects.snapshot is not None:
        record_table(group, node.replica.edits.table)
    if effects.applied:
        with suppress(OSError):
            save_commit(node.store, node.replica.commit_index)


def end_replies(node: Node) -> None:
    """End the proposals whose outcome is awaited, as unknown."""
    for _, reply in node.replies_by_index.values():
        reply(Unknown())
    node.replies_by_index.clear()


def may_step(group: Group, node: Node) -> bool:
    """Return whether a replica may take a step, after a reload if it is due."""
    return (
        node.replica is not None
        and node.store is not None
        and ensure_reloaded(node.store, node.replica, group.queue.now)
    )


def applied_outcome(applied: Applied) -> AnyOutcome:
    """Return the outcome of an applied command."""
    if isinstance(applied, AppliedEdit):
        return applied.outcome
    if isinstance(applied, AppliedEvacuation):
        return Accepted(applied.revision)
    return Accepted(applied.index)


def record_table(group: Group, table: RoutingTable) -> None:
    """Record a table, and its version if another content had it before."""
    first = group.tables_by_version.setdefault(table.version, table)
    if first != table and table.version not in group.ambiguous_versions:
        group.ambiguous_versions.append(table.version)


def send_message(group: Group, sender: str, outgoing: ReplicaSend) -> None:
    """Send a message; a receiver with another uid ignores it."""
    name = outgoing.receiver.instance_id
    uid = outgoing.receiver.uid

    def deliver() -> None:
        replica = group.nodes_by_name[name].replica
        if replica is not None and uid in {'', replica.local_member.uid}:
            run_step(group, group.nodes_by_name[name], outgoing.message)

    def post() -> None:
        send(
            group.network,
            sender,
            name,
            lambda: run_on_node(group, name, deliver),
        )

    is_snapshot = isinstance(outgoing.message, SnapshotRequest)
    delay = time_on_link(group, sender, name, is_snapshot=is_snapshot)
    if delay:
        schedule(group.queue, delay, post)
    else:
        post()


def time_on_link(
    group: Group, sender: str, receiver: str, *, is_snapshot: bool
) -> float:
    """Return the seconds until a message gets through behind earlier ones."""
    now = group.queue.now
    free_at = max(group.link_free_at.get((sender, receiver), now), now)
    if not is_snapshot:
        return free_at - now
    free_at += group.snapshot_seconds
    # Later messages must not overtake it by their shorter delays.
    group.link_free_at[sender, receiver] = free_at + group.network.max_delay
    return free_at - now


def run_step(group: Group, node: Node, message: ReplicaMessage) -> None:
    """Run the replica's step for a message and perform its effects."""
    if node.replica is not None and may_step(group, node):
        effects = consensus.step(node.replica, group.queue.now, message)
        perform_effects(group, node, effects)


def submit(group: Group, name: str, edit: Edit, reply: Reply) -> None:
    """Propose an edit at a process, or forward it to the known leader."""
    if not group.is_deduplicating:
        group.renamed_edits += 1
        edit = with_edit_id(edit, f'{edit.edit_id}#{group.renamed_edits}')
    submit_command(
        group,
        name,
        lambda replica, now: consensus.propose_edit(replica, now, edit, now),
        reply,
    )


def submit_command(
    group: Group, name: str, propose: Propose, reply: Reply, hops: int = 1
) -> None:
    """Propose a command at a process, or forward it to the known leader."""
    node = group.nodes_by_name[name]
    if node.replica is None:
        return
    proposed, effects = propose(node.replica, group.queue.now)
    if isinstance(proposed, Pending):
        node.replies_by_index[proposed.index] = (proposed.term, reply)
    perform_effects(group, node, effects)
    if isinstance(proposed, NotLeader):
        leader = proposed.leader
        if leader is None or not hops:
            reply(NoQuorum(None))
            return
        forward_command(group, name, leader.instance_id, propose, reply)
    elif not isinstance(proposed, Pending):
        reply(proposed)


def forward_command(
    group: Group, name: str, leader: str, propose: Propose, reply: Reply
) -> None:
    """Forward a command to the leader and its outcome back to the process."""

    def forward_reply(outcome: AnyOutcome) -> None:
        send(group.network, leader, name, lambda: reply(outcome))

    def deliver() -> None:
        submit_command(group, leader, propose, forward_reply, hops=0)

    send(
        group.network, name, leader, lambda: run_on_node(group, leader, deliver)
    )


def with_edit_id(edit: Edit, edit_id: str) -> Edit:
    """Return a copy of an edit with another id."""
    return Edit(
        edit_id,
        edit.kind,
        edit.name,
        edit.expected_version,
        edit.route,
        edit.pool,
    )


def live_replicas(group: Group) -> list[Replica]:
    """Return the replicas of all running processes."""
    return [
        node.replica
        for node in group.nodes_by_name.values()
        if node.replica is not None
    ]


def leader_name(group: Group) -> str | None:
    """Return the leader with the highest term, if any."""
    leaders = [
        (replica.vote.term, replica.local_member.instance_id)
        for replica in live_replicas(group)
        if replica.role is Role.LEADER
    ]
    return max(leaders)[1] if leaders else None
