"""Disks that are full one after another, and a group that goes on as before."""

from collections.abc import Iterator

from mustardhold.systems.election import voter_uids
from tools.fakes.event_queue import run_until, schedule_every
from tools.fakes.replicas import Group, leader_name, make_group
from tools.proofs.configurations import (
    CHANGE_SECONDS,
    FORMATION_SECONDS,
    NAMES,
    READ_SECONDS,
    SEEDS,
    ConfigurationRun,
    read_from_random,
    send_change,
)
from tools.registry import Proof, Violation

FULL_SECONDS = 3.0
PAUSE_SECONDS = 1.5
# An operator's change has to be acknowledged within this time.
ACK_SECONDS = 5.0
# By then, each replica has heard of what was acknowledged before.
SPREAD_SECONDS = 1.0
MAX_ALLOWED_OPERATIONS = 12
# Each way in which a full disk may refuse what a process does.
WRITES = frozenset(('append', 'sync', 'rename', 'sync_folder'))
REFUSALS = (
    *(frozenset((operation,)) for operation in sorted(WRITES)),
    WRITES,
    WRITES.union(('truncate',)),
)
SIZES = ((SEEDS, 3), (NAMES[:4], 3), (NAMES[:5], 5), (NAMES, 5))
PROMISE = (
    'changes are acknowledged as before within 5 s after the last of the disks '
    'that were full has room again'
)


def run_full_disks(seed: int, *, naive: bool) -> list[Violation]:
    """Fill the disks of all replicas in turn, the leader's first or last.

    The naive replicas end when their disks are full, and start again.
    """
    names, voters = SIZES[seed % len(SIZES)]
    group = make_group(seed, names, syncing=True, seeds=SEEDS, voters=voters)
    group.is_reloading = not naive
    run = ConfigurationRun(group, (voters - 1) // 2)
    queue = group.queue
    run_until(queue, FORMATION_SECONDS)
    schedule_every(queue, CHANGE_SECONDS, lambda: send_change(run))
    schedule_every(queue, READ_SECONDS, lambda: read_from_random(run))
    refused = REFUSALS[seed // len(SIZES) % len(REFUSALS)]
    for name in order_of_replicas(group, names):
        fill_for_some_time(group, name, refused)
    sent = run.version
    run_until(queue, queue.now + ACK_SECONDS)
    acknowledged = run.acknowledged
    if acknowledged <= sent:
        return [Violation(PROMISE, f'{acknowledged} acknowledged, {sent} sent')]
    run_until(queue, queue.now + SPREAD_SECONDS)
    return [*run.violations, *find_unfinished(run, acknowledged, voters)]


def order_of_replicas(group: Group, names: tuple[str, ...]) -> Iterator[str]:
    """Yield each replica once; at random, the one that leads at that time."""
    waiting = list(names)
    while waiting:
        leader = leader_name(group)
        is_leader_next = leader in waiting and group.queue.rng.random() < 1 / 2
        name = leader if is_leader_next else group.queue.rng.choice(waiting)
        assert name is not None
        waiting.remove(name)
        yield name


def fill_for_some_time(
    group: Group, name: str, refused: frozenset[str]
) -> None:
    """Let a disk refuse operations after a few more, and then none again."""
    disk = group.nodes_by_name[name].disk
    disk.refused = refused
    disk.allowed = group.queue.rng.randrange(MAX_ALLOWED_OPERATIONS)
    run_until(group.queue, group.queue.now + FULL_SECONDS)
    disk.refused = frozenset()
    run_until(group.queue, group.queue.now + PAUSE_SECONDS)


def find_unfinished(
    run: ConfigurationRun, acknowledged: int, voters: int
) -> Iterator[Violation]:
    """Find what is not as before some time after the last disk had room."""
    group = run.group
    if group.ended:
        yield Violation('no process ends', f'{group.ended} ended')
    for name, node in group.nodes_by_name.items():
        replica = node.replica
        if replica is None:
            continue
        if replica.configuration.version < acknowledged:
            yield Violation(PROMISE, f'{name} lacks {acknowledged}')
        if len(voter_uids(replica)) < voters:
            yield Violation(PROMISE, f'{name} knows too few voters')


PROOFS = (
    Proof(
        'full-disks',
        PROMISE,
        run_full_disks,
        seeds=240,
        ci_seeds=24,
    ),
)
