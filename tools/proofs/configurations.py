"""Replicated configurations in a group that grows and repairs itself.

The settings name three replicas of a larger group. Replicas are killed,
wiped, frozen, partitioned and permanently replaced at another address. At the
end all lose power together, right after an acknowledgement, and the highest
tolerated number of them lose their disks.
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
    freeze,
    kill,
    leader_name,
    live_replicas,
    make_group,
    perform_effects,
    restart_later,
    run_on_node,
    wipe,
)
from tools.registry import Proof, Violation

SEEDS = ('c1', 'c2', 'c3')
NAMES = (*SEEDS, 'c4', 'c5', 'c6')
FORMATION_SECONDS = 8.0
CHANGE_SECONDS = 0.3
READ_SECONDS = 0.23
DOWN_SECONDS = 1.0
# A replica counts as lost until it has been running again for this long.
CATCH_UP_SECONDS = 4.0
SEED_LAG_SECONDS = 3.0
FAULT_SECONDS = DOWN_SECONDS + CATCH_UP_SECONDS
FAULT_ROUNDS = 6
# Three documents exceed SNAPSHOT_BYTES, so that the log is compacted in a run.
DOCUMENT_BYTES = 100_000
RECOVERY_SECONDS = 12.0
PROMISE = 'an acknowledged configuration is in force, and never reverts'


@dataclass(slots=True)
class ConfigurationRun:
    """A group, the configurations sent to it, and the violations found.

    Attributes
    ----------
    acknowledged
        Highest acknowledged version.
    """

    group: Group
    losses: int
    version: int = 0
    acknowledged: int = 0
    documents_by_version: dict[int, bytes] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)


def send_change(run: ConfigurationRun) -> None:
    """Send the next version to a random process."""
    rng = run.group.queue.rng
    run.version += rng.randrange(1, 4)
    content = f'document {run.version}'.encode().ljust(DOCUMENT_BYTES)
    document = VersionedDocument(run.version, content)
    run.documents_by_version[document.version] = document.packed
    name = rng.choice(sorted(run.group.nodes_by_name))
    run_on_node(
        run.group,
        name,
        lambda: propose_or_forward(run, name, document, hops=1),
    )


def propose_or_forward(
    run: ConfigurationRun, name: str, document: VersionedDocument, hops: int
) -> None:
    """Propose a configuration, or forward it to a reachable leader."""
    group = run.group
    node = group.nodes_by_name[name]
    if node.replica is None:
        return
    proposed, effects = consensus.propose_configuration(
        node.replica, group.queue.now, document
    )

    def record_outcome(outcome: AnyOutcome) -> None:
        if isinstance(outcome, Accepted):
            run.acknowledged = max(run.acknowledged, document.version)

    if isinstance(proposed, Pending):
        node.replies_by_index[proposed.index] = (proposed.term, record_outcome)
    elif isinstance(proposed, Accepted):
        record_outcome(proposed)
    perform_effects(group, node, effects)
    if isinstance(proposed, NotLeader) and proposed.leader and hops:
        leader = proposed.leader.instance_id
        if can_reach(group.network, name, leader):
            run_on_node(
                group,
                leader,
                lambda: propose_or_forward(run, leader, document, 0),
            )


def read_from_random(run: ConfigurationRun) -> None:
    """Read from a random process and check that the result is current."""
    group = run.group
    name = group.queue.rng.choice(sorted(group.nodes_by_name))
    node = group.nodes_by_name[name]
    if node.replica is None or node.backlog is not None:
        return
    check_read(run, node)


def check_read(run: ConfigurationRun, node: Node) -> bool:
    """Check a read from a process; return whether it replied."""
    if node.replica is None:
        return False
    now = run.group.queue.now
    configuration = consensus.read_configuration(node.replica, now)
    if isinstance(configuration, NotLeader):
        return False
    if configuration.version < run.acknowledged:
        description = f'{node.name} reads {configuration.version} at {now:.2f}'
        run.violations.append(
            Violation(PROMISE, f'{description} after {run.acknowledged}')
        )
    sent = run.documents_by_version.get(configuration.version, b'')
    if configuration.packed != sent:
        run.violations.append(
            Violation(
                PROMISE, f'version {configuration.version} has other content'
            )
        )
    return True


def inject_losses(run: ConfigurationRun) -> None:
    """Inject one kind of fault into a random, tolerated number of replicas."""
    group = run.group
    rng = group.queue.rng
    names = sorted(
        name
        for name, node in group.nodes_by_name.items()
        if node.replica is not None
    )
    lost = rng.sample(names, rng.randint(1, run.losses))
    fault = rng.choice(
        (kill_one, wipe_one, freeze_one, partition_one, replace_one)
    )
    for name in lost:
        fault(group, name)


def kill_one(group: Group, name: str) -> None:
    """Kill a process and restart it with its disk."""
    kill(group, name)
    restart_later(group, name, DOWN_SECONDS)


def wipe_one(group: Group, name: str) -> None:
    """Kill a process and restart it with an empty disk."""
    wipe(group, name)
    restart_later(group, name, DOWN_SECONDS)


def freeze_one(group: Group, name: str) -> None:
    """Freeze a process for longer than any lease."""
    freeze(group, name, 3 * DOWN_SECONDS)


def partition_one(group: Group, name: str) -> None:
    """Partition a process from all others for three seconds."""
    group.network.partition_by_node[name] = 1
    schedule(
        group.queue,
        3 * DOWN_SECONDS,
        lambda: group.network.partition_by_node.pop(name, None),
    )


def replace_one(group: Group, name: str) -> None:
    """Kill a process permanently and add an empty one at another address.

    Three seconds after the successor has started, the settings with which
    replicas start name it instead.
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


def lose_power(run: ConfigurationRun) -> None:
    """Kill all processes together and restart some with empty disks."""
    group = run.group
    running = [
        name
        for name, node in group.nodes_by_name.items()
        if node.replica is not None
    ]
    wiped = group.queue.rng.sample(sorted(running), run.losses)
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
    run = ConfigurationRun(group, losses)
    queue = group.queue
    run_until(queue, FORMATION_SECONDS)
    schedule_every(queue, CHANGE_SECONDS, lambda: send_change(run))
    schedule_every(queue, READ_SECONDS, lambda: read_from_random(run))
    for _ in range(FAULT_ROUNDS):
        inject_losses(run)
        run_until(queue, queue.now + FAULT_SECONDS)
    lose_power(run)
    run_until(queue, queue.now + RECOVERY_SECONDS)
    return [*run.violations, *find_unrecovered(run, voters)]


def find_unrecovered(run: ConfigurationRun, voters: int) -> list[Violation]:
    """Check reads, commits and the number of voters after the recovery."""
    group = run.group
    name = leader_name(group)
    node = group.nodes_by_name.get(name or '')
    if node is None or not check_read(run, node):
        return [Violation(PROMISE, 'nobody reads after the recovery')]
    description = [
        Violation(PROMISE, message) for message in group.contradictions
    ]
    voter_count = len(voter_uids(node.replica)) if node.replica else 0
    live = len(live_replicas(group))
    if voter_count < min(voters, live):
        description.append(
            Violation(
                PROMISE, f'{voter_count} of {live} replicas vote, not {voters}'
            )
        )
    return description


PROOFS = (
    Proof(
        'configuration',
        f'{PROMISE}; the group repairs itself and bears the next loss',
        run_configurations,
    ),
)
