"""Disks that are lost one after another, while snapshots are slow."""

from tools.fakes.event_queue import run_until, schedule_every
from tools.fakes.replicas import leader_name, make_group, restart_later, wipe
from tools.proofs.configurations import (
    CATCH_UP_SECONDS,
    FORMATION_SECONDS,
    NAMES,
    READ_SECONDS,
    SEEDS,
    ConfigurationRun,
    check_read,
    read_from_random,
    send_change,
)
from tools.registry import Proof, Violation

CHANGE_SECONDS = 0.1
DOWN_SECONDS = 0.5
SNAPSHOT_SECONDS = 0.8
LOSSES = 8
ACK_SECONDS = 5.0
PROMISE = (
    'under a storm of changes with slow snapshots, disks may be lost one by '
    'one, each once the instance before has been back for the catch-up time'
)


def run_lost_disks(seed: int, *, naive: bool) -> list[Violation]:
    """Lose one disk after another; the naive group replaces no voter."""
    names = SEEDS if seed % 2 else NAMES[:4]
    group = make_group(
        seed, names, syncing=True, seeds=SEEDS, voters=0 if naive else 3
    )
    group.snapshot_seconds = SNAPSHOT_SECONDS
    run = ConfigurationRun(group, 1)
    queue = group.queue
    run_until(queue, FORMATION_SECONDS)
    schedule_every(queue, CHANGE_SECONDS, lambda: send_change(run))
    schedule_every(queue, READ_SECONDS, lambda: read_from_random(run))
    for _ in range(LOSSES):
        is_leader_lost = queue.rng.random() < 1 / 2
        leader = leader_name(group)
        if leader is None or not is_leader_lost:
            leader = queue.rng.choice(names)
        wipe(group, leader)
        restart_later(group, leader, DOWN_SECONDS)
        run_until(queue, queue.now + DOWN_SECONDS + CATCH_UP_SECONDS)
    before = run.version
    run_until(queue, queue.now + ACK_SECONDS)
    if run.acknowledged <= before:
        return [
            *run.violations,
            Violation(PROMISE, f'{run.acknowledged} of {before} acknowledged'),
        ]
    node = group.nodes_by_name[leader_name(group) or names[0]]
    check_read(run, node)
    return run.violations


PROOFS = (Proof('lost-disks', PROMISE, run_lost_disks, seeds=200, ci_seeds=6),)
