"""Edits under process failures, partitions, races and lost replies."""

from tools.fakes.control_runs import (
    FAULTS_END,
    NAMES,
    Run,
    find_edit_violations,
    make_last_write_clients,
    make_run,
    recover_and_check,
    start_operators,
    start_random_faults,
)
from tools.fakes.event_queue import run_until
from tools.fakes.operators import (
    find_changed_outcomes,
    find_lost_edits,
    find_unordered_edits,
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
    """Send edits under random faults; the naive replicas never sync.

    There are three replicas for odd seeds, and five for even ones.
    """
    names = NAMES if seed % 2 else FIVE_NAMES
    run = make_run(seed, names, syncing=not naive)
    if naive:
        run.group.uid_by_name.update((name, name) for name in names)
    start_operators(run.clients, FAULTS_END)
    start_random_faults(run, FAULTS_END)
    run_until(run.group.queue, FAULTS_END)
    return recover_and_check(run) + find_edit_violations(run)


def run_edit_race(seed: int, *, naive: bool) -> list[Violation]:
    """Send concurrent edits of one version; naive: the last write wins."""
    if naive:
        clients = make_last_write_clients(seed)
    else:
        run = make_run(seed)
        clients = run.clients
    queue = clients.service.queue
    version = 0
    for number in range(ROUNDS):
        calls = [
            send_edit(
                clients,
                f'o{racer}',
                pool_edit(f'{number}-{racer}', 'p', version),
            )
            for racer in range(RACERS)
        ]
        if not naive and queue.rng.randrange(10) < 3:
            restart_leader(run)
        run_until(queue, queue.now + ROUND_SECONDS)
        versions = [
            table.entry_versions.get('pool/p', 0)
            for table in clients.balancers_by_name.values()
        ]
        version = max(versions)
        del calls
    run_until(queue, queue.now + 20)
    tables = list(clients.balancers_by_name.items())
    return find_unordered_edits(clients) + find_lost_edits(clients, tables)


def restart_leader(run: Run) -> None:
    """Kill the leader and restart it after a second."""
    name = leader_name(run.group)
    if name is not None:
        kill(run.group, name)
        restart_later(run.group, name, 1)


def run_resent_edit(seed: int, *, naive: bool) -> list[Violation]:
    """Resend edits on a lossy network; naive: edit ids are not recognised."""
    run = make_run(seed)
    run.group.is_deduplicating = not naive
    run.group.network.loss = 0.25
    run.group.network.repeats = 0.1
    start_operators(run.clients, FAULTS_END, 2)
    start_random_faults(run, FAULTS_END)
    run_until(run.group.queue, FAULTS_END)
    run.group.network.loss = 0
    broken = recover_and_check(run)
    for call in list(run.clients.calls):
        edit = pool_edit(call.edit_id, call.entry, call.expected_version)
        resent = send_edit(run.clients, 'o-again', edit)
        run_until(run.group.queue, run.group.queue.now + 0.5)
        run.clients.calls.remove(resent)
    return (
        broken + find_changed_outcomes(run.clients) + find_edit_violations(run)
    )


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
