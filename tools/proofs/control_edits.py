"""Edits under kills, cuts, races and lost answers."""

from tools.fakes.control_runs import (
    FAULTS_END,
    NAMES,
    Run,
    find_broken,
    make_last_write_users,
    make_run,
    settle,
    start_faults,
    start_operators,
)
from tools.fakes.event_queue import run_until
from tools.fakes.operators import (
    find_changed_answers,
    find_lost,
    find_races,
    pool_edit,
    send_edit,
)
from tools.fakes.replicas import kill, leader_name, restart_later
from tools.registry import Proof, Violation

FIVE_NAMES = (*NAMES, 'c4', 'c5')
RACERS = 4
ROUNDS = 12
ROUND_SECONDS = 2.0


def run_accepted_edit(seed: int, *, naive: bool) -> list[Violation]:
    """Edit under every fault; the naive replicas don't sync.

    Three replicas with odd seeds, five with even ones.
    """
    names = NAMES if seed % 2 else FIVE_NAMES
    run = make_run(seed, names, syncing=not naive)
    if naive:
        run.group.uid_by_name.update((name, name) for name in names)
    start_operators(run.users, FAULTS_END)
    start_faults(run, FAULTS_END)
    run_until(run.group.queue, FAULTS_END)
    return settle(run) + find_broken(run)


def run_edit_race(seed: int, *, naive: bool) -> list[Violation]:
    """Send equal versions at the same moment; naive: the last write wins."""
    if naive:
        users = make_last_write_users(seed)
    else:
        run = make_run(seed)
        users = run.users
    queue = users.service.queue
    version = 0
    for number in range(ROUNDS):
        calls = [
            send_edit(
                users, f'o{racer}', pool_edit(f'{number}-{racer}', 'p', version)
            )
            for racer in range(RACERS)
        ]
        if not naive and queue.rng.randrange(10) < 3:
            strike_leader(run)
        run_until(queue, queue.now + ROUND_SECONDS)
        seen = [
            table.entry_versions.get('pool/p', 0)
            for table in users.balancers_by_name.values()
        ]
        version = max(seen)
        del calls
    run_until(queue, queue.now + 20)
    tables = list(users.balancers_by_name.items())
    return find_races(users) + find_lost(users, tables)


def strike_leader(run: Run) -> None:
    """Kill the leader, and start it again."""
    name = leader_name(run.group)
    if name is not None:
        kill(run.group, name)
        restart_later(run.group, name, 1)


def run_resent_edit(seed: int, *, naive: bool) -> list[Violation]:
    """Lose most answers; the naive replicas keep no edit ids."""
    run = make_run(seed)
    run.group.is_deduplicating = not naive
    run.group.network.loss = 0.25
    run.group.network.repeats = 0.1
    start_operators(run.users, FAULTS_END, 2)
    start_faults(run, FAULTS_END)
    run_until(run.group.queue, FAULTS_END)
    run.group.network.loss = 0
    broken = settle(run)
    for call in list(run.users.calls):
        edit = pool_edit(call.edit_id, call.entry, call.expected_version)
        resent = send_edit(run.users, 'o-again', edit)
        run_until(run.group.queue, run.group.queue.now + 0.5)
        run.users.calls.remove(resent)
    return broken + find_changed_answers(run.users) + find_broken(run)


PROOFS = (
    Proof(
        'accepted-edit',
        'an accepted edit is in every later table and never reverts',
        run_accepted_edit,
        ci_seeds=4,
    ),
    Proof(
        'edit-race',
        'of edits with equal versions one wins, and the others name it',
        run_edit_race,
        ci_seeds=4,
    ),
    Proof(
        'resent-edit',
        'a resent edit gets its first outcome and is applied once',
        run_resent_edit,
        ci_seeds=3,
    ),
)
