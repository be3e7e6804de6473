"""Configurations of whole versions, in a group that grows and repairs itself.

Three replicas are named, more are there. Replicas are killed, wiped, frozen,
cut off and replaced for good at another address; all lose power at once,
right after an acknowledgement, and as many as may be lose their disks.
"""

from dataclasses import dataclass, field

from mustardhold.systems import consensus
from mustardhold.systems.election import voter_uids
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.consensus import NotLeader, Pending
from mustardhold.tables.routing import Accepted
from tools.fakes.event_queue import run_until, schedule, schedule_every
from tools.fakes.network import can_reach
from tools.fakes.replicas import (
    AnyOutcome,
    Group,
    Node,
    add_node,
    at_node,
    follow_effects,
    freeze,
    kill,
    leader_name,
    live_replicas,
    make_group,
    restart_later,
    wipe,
)
from tools.registry import Proof, Violation

SEEDS = ('c1', 'c2', 'c3')
NAMES = (*SEEDS, 'c4', 'c5', 'c6')
FORMED_SECONDS = 8.0
CHANGE_SECONDS = 0.3
READ_SECONDS = 0.23
DOWN_SECONDS = 1.0
# A loss counts until its replica was back for this long.
CATCH_UP_SECONDS = 4.0
SEED_LAG_SECONDS = 3.0
FAULT_SECONDS = DOWN_SECONDS + CATCH_UP_SECONDS
ROUNDS = 6
# Some ten of them make a log that is cut.
DOCUMENT_BYTES = 100_000
RECOVERY_SECONDS = 12.0
PROMISE = 'an acknowledged configuration is in force, and never reverts'


@dataclass(slots=True)
class Changes:
    """What an operator sent and what was acknowledged and read.

    Attributes
    ----------
    acknowledged
        Highest version that was acknowledged.
    """

    group: Group
    losses: int
    version: int = 0
    acknowledged: int = 0
    documents_by_version: dict[int, bytes] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)


def send_change(changes: Changes) -> None:
    """Send the next version to some process."""
    rng = changes.group.queue.rng
    changes.version += rng.randrange(1, 4)
    content = f'document {changes.version}'.encode().ljust(DOCUMENT_BYTES)
    document = VersionedDocument(changes.version, content)
    changes.documents_by_version[document.version] = document.packed
    name = rng.choice(sorted(changes.group.nodes_by_name))
    at_node(
        changes.group,
        name,
        lambda: take_change(changes, name, document, hops=1),
    )


def take_change(
    changes: Changes, name: str, document: VersionedDocument, hops: int
) -> None:
    """Propose a configuration, or hand it to the leader."""
    group = changes.group
    node = group.nodes_by_name[name]
    if node.replica is None:
        return
    proposed, effects = consensus.propose_configuration(
        node.replica, group.queue.now, document
    )

    def note(outcome: AnyOutcome) -> None:
        if isinstance(outcome, Accepted):
            changes.acknowledged = max(changes.acknowledged, document.version)

    if isinstance(proposed, Pending):
        node.answers_by_index[proposed.index] = (proposed.term, note)
    elif isinstance(proposed, Accepted):
        note(proposed)
    follow_effects(group, node, effects)
    if isinstance(proposed, NotLeader) and proposed.leader and hops:
        leader = proposed.leader.instance_id
        if can_reach(group.network, name, leader):
            at_node(
                group, leader, lambda: take_change(changes, leader, document, 0)
            )


def read_some(changes: Changes) -> None:
    """Read at some process; whoever answers has to know the newest."""
    group = changes.group
    name = group.queue.rng.choice(sorted(group.nodes_by_name))
    node = group.nodes_by_name[name]
    if node.replica is None or node.backlog is not None:
        return
    check_read(changes, node)


def check_read(changes: Changes, node: Node) -> bool:
    """Check what a process answers to a read, if it does."""
    if node.replica is None:
        return False
    now = changes.group.queue.now
    held = consensus.read_configuration(node.replica, now)
    if isinstance(held, NotLeader):
        return False
    if held.version < changes.acknowledged:
        seen = f'{node.name} reads {held.version} at {now:.2f}'
        changes.violations.append(
            Violation(PROMISE, f'{seen} after {changes.acknowledged}')
        )
    sent = changes.documents_by_version.get(held.version, b'')
    if held.packed != sent:
        changes.violations.append(
            Violation(PROMISE, f'version {held.version} has other content')
        )
    return True


def lose_some(changes: Changes) -> None:
    """Let as many processes fail as may be lost at once, in some way."""
    group = changes.group
    rng = group.queue.rng
    names = sorted(
        name
        for name, node in group.nodes_by_name.items()
        if node.replica is not None
    )
    lost = rng.sample(names, rng.randint(1, changes.losses))
    fault = rng.choice((kill_one, wipe_one, freeze_one, cut_one, replace_one))
    for name in lost:
        fault(group, name)


def kill_one(group: Group, name: str) -> None:
    """End a process, which comes back with its disk."""
    kill(group, name)
    restart_later(group, name, DOWN_SECONDS)


def wipe_one(group: Group, name: str) -> None:
    """End a process, which comes back with an empty disk."""
    wipe(group, name)
    restart_later(group, name, DOWN_SECONDS)


def freeze_one(group: Group, name: str) -> None:
    """Hold a process for longer than any lease."""
    freeze(group, name, 3 * DOWN_SECONDS)


def cut_one(group: Group, name: str) -> None:
    """Cut a process off from all others."""
    group.network.partition_by_node[name] = 1
    schedule(
        group.queue,
        3 * DOWN_SECONDS,
        lambda: group.network.partition_by_node.pop(name, None),
    )


def replace_one(group: Group, name: str) -> None:
    """End a process for good; an empty one comes at another address.

    The settings of whoever starts later name it in the other's place.
    """
    is_syncing = group.nodes_by_name[name].disk.is_syncing
    successor = f'{name}n'

    def rename() -> None:
        group.seeds = tuple(
            successor if seed == name else seed for seed in group.seeds
        )

    kill(group, name)
    schedule(
        group.queue,
        DOWN_SECONDS,
        lambda: add_node(group, successor, syncing=is_syncing),
    )
    schedule(group.queue, DOWN_SECONDS + SEED_LAG_SECONDS, rename)


def lose_power(changes: Changes) -> None:
    """End all processes at once; some come back with empty disks."""
    group = changes.group
    running = [
        name
        for name, node in group.nodes_by_name.items()
        if node.replica is not None
    ]
    wiped = group.queue.rng.sample(sorted(running), changes.losses)
    for name in running:
        end = wipe if name in wiped else kill
        end(group, name)
        restart_later(group, name, DOWN_SECONDS)


def run_configurations(seed: int, *, naive: bool) -> list[Violation]:
    """Change configurations under faults; the naive version never syncs."""
    losses = 1 + seed % 2
    voters = 2 * losses + 1
    group = make_group(
        seed,
        NAMES if losses > 1 else NAMES[:4],
        syncing=not naive,
        seeds=SEEDS,
        voters=voters,
    )
    changes = Changes(group, losses)
    queue = group.queue
    run_until(queue, FORMED_SECONDS)
    schedule_every(queue, CHANGE_SECONDS, lambda: send_change(changes))
    schedule_every(queue, READ_SECONDS, lambda: read_some(changes))
    for _ in range(ROUNDS):
        lose_some(changes)
        run_until(queue, queue.now + FAULT_SECONDS)
    lose_power(changes)
    run_until(queue, queue.now + RECOVERY_SECONDS)
    return [*changes.violations, *find_unrecovered(changes, voters)]


def find_unrecovered(changes: Changes, voters: int) -> list[Violation]:
    """Find what is missing once the faults are over."""
    group = changes.group
    name = leader_name(group)
    node = group.nodes_by_name.get(name or '')
    if node is None or not check_read(changes, node):
        return [Violation(PROMISE, 'nobody reads after the recovery')]
    seen = [Violation(PROMISE, message) for message in group.contradicted]
    held = len(voter_uids(node.replica)) if node.replica else 0
    live = len(live_replicas(group))
    if held < min(voters, live):
        seen.append(
            Violation(PROMISE, f'{held} of {live} replicas vote, not {voters}')
        )
    return seen


PROOFS = (
    Proof(
        'configuration',
        f'{PROMISE}; the group repairs itself and bears the next loss',
        run_configurations,
    ),
)
