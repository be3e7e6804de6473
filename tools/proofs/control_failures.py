"""Isolated leaders, lost disks and restarts of control replicas."""

from mustardhold.adapters.records import DamagedFileError
from mustardhold.systems.replica_membership import (
    is_outside_group,
    replace_replica,
)
from mustardhold.tables.consensus import Effects, Replica, Role
from mustardhold.tables.constants import LEADER_LEASE, MIN_ELECTION_TIMEOUT
from mustardhold.tables.routing import Accepted, RoutingTable
from tools.fakes.control_runs import (
    NAMES,
    Run,
    find_edit_violations,
    make_last_write_clients,
    make_run,
    partition_replica,
    recover_and_check,
    start_operators,
)
from tools.fakes.disks import damage_middle
from tools.fakes.event_queue import run_until
from tools.fakes.operators import (
    Clients,
    find_lost_edits,
    pool_edit,
    send_edit,
)
from tools.fakes.replicas import (
    AnyOutcome,
    freeze,
    kill,
    leader_name,
    live_replicas,
    perform_effects,
    restart_later,
    start,
    wipe,
)
from tools.registry import Proof, Violation

LEASE_SECONDS = LEADER_LEASE.total_seconds()
ISOLATED_SECONDS = 60.0
PROBE_SECONDS = 0.5
EDITS_BEFORE_RESTART = 500
EDIT_SECONDS = 0.02
REPAIR_SECONDS = 15.0


def probe(
    clients: Clients, name: str, count: int
) -> list[tuple[float, AnyOutcome]]:
    """Send edits to one replica every half second; return the outcomes."""
    queue = clients.service.queue
    answers: list[tuple[float, AnyOutcome]] = []

    def record_outcome(outcome: AnyOutcome) -> None:
        answers.append((queue.now, outcome))

    for number in range(count):
        edit = pool_edit(f'probe-{name}-{number}', f'pool-{number}', 0)
        clients.service.submit(name, edit, record_outcome)
        run_until(queue, queue.now + PROBE_SECONDS)
    return answers


def run_isolated_leader(seed: int, *, naive: bool) -> list[Violation]:
    """Isolate the leader for a minute, by a partition or by a freeze."""
    run = None if naive else make_run(seed)
    clients = make_last_write_clients(seed) if run is None else run.clients
    queue = clients.service.queue
    leader = 'c1' if run is None else leader_name(run.group) or 'c1'
    cut_at = queue.now
    if run is not None and seed % 3 == 0:
        freeze(run.group, leader, ISOLATED_SECONDS)
    else:
        partition_replica(clients, leader, ISOLATED_SECONDS)
    start_operators(clients, cut_at + ISOLATED_SECONDS)
    count = int(ISOLATED_SECONDS / PROBE_SECONDS / 2)
    answers = probe(clients, leader, count)
    late = [
        Violation(
            'an isolated leader stops accepting within its lease',
            f'{outcome} at {at - cut_at:.2f} s after the cut',
        )
        for at, outcome in answers
        if isinstance(outcome, Accepted)
        and LEASE_SECONDS < at - cut_at <= ISOLATED_SECONDS
    ]
    run_until(queue, cut_at + ISOLATED_SECONDS)
    if run is None:
        run_until(queue, queue.now + 10)
        return late + find_lost_edits(
            clients, list(clients.balancers_by_name.items())
        )
    return (
        late[:1]
        + find_leader_change(run)
        + recover_and_check(run)
        + find_edit_violations(run)
    )


def find_leader_change(run: Run) -> list[Violation]:
    """Check that the return of a replica does not change leader or term."""
    queue = run.group.queue
    before = leader_term(run)
    run_until(queue, queue.now + 5 * MIN_ELECTION_TIMEOUT.total_seconds())
    after = leader_term(run)
    if before == after:
        return []
    return [
        Violation(
            'a replica that returns disturbs nothing',
            f'leader and term were {before}, then {after}',
        )
    ]


def leader_term(run: Run) -> tuple[str | None, int]:
    """Return the leader with the highest term, and that term."""
    terms = [
        replica.vote.term
        for replica in live_replicas(run.group)
        if replica.role is Role.LEADER
    ]
    return leader_name(run.group), max(terms, default=0)


def replica_of(run: Run, name: str) -> Replica | None:
    """Return the replica of a running process."""
    return run.group.nodes_by_name[name].replica


def edit_for(run: Run, seconds: float) -> None:
    """Run two operators that send edits for some seconds."""
    queue = run.group.queue
    start_operators(run.clients, queue.now + seconds, 2)
    run_until(queue, queue.now + seconds)


def run_lost_disk(seed: int, *, naive: bool) -> list[Violation]:
    """Lose a disk, then others; naive: the wiped replica retains its identity.

    A partition leaves one replica without the edits, a second loses them with
    its disk, and the third is down: the first two must not form a majority.
    """
    run = make_run(seed)
    queue = run.group.queue
    leader = leader_name(run.group) or NAMES[0]
    lagging, lost = (name for name in NAMES if name != leader)
    if naive:
        run.group.uid_by_name[lost] = uid_of(run, lost)
    run.group.network.partition_by_node[lagging] = 1
    edit_for(run, 4)
    kill(run.group, leader)
    wipe(run.group, lost)
    start(run.group, lost)
    run.group.network.partition_by_node.clear()
    edit_for(run, 6)
    broken = find_readmission(run, lost)
    start(run.group, leader)
    edit_for(run, 4)
    if naive:
        return broken + recover_and_check(run) + find_edit_violations(run)
    broken += repair(run, lost)
    second = queue.rng.choice([leader, lagging])
    kill(run.group, second)
    wipe(run.group, second)
    edit_for(run, 4)
    return broken + recover_and_check(run) + find_edit_violations(run)


def uid_of(run: Run, name: str) -> str:
    """Return the uid of a replica's data directory, empty if it is down."""
    replica = replica_of(run, name)
    return '' if replica is None else replica.local_member.uid


def find_readmission(run: Run, lost: str) -> list[Violation]:
    """Check that a replica with a lost disk stays outside the group."""
    replica = replica_of(run, lost)
    if replica is not None and is_outside_group(replica):
        return []
    return [
        Violation(
            'a replica with a lost disk is refused under its old identity',
            f'{lost} takes part again',
        )
    ]


def repair(run: Run, lost: str) -> list[Violation]:
    """Request a replacement each second until all list it as a voter."""
    queue = run.group.queue
    end = queue.now + REPAIR_SECONDS
    while queue.now < end and not is_repaired(run, lost):
        request_replacement(run, lost)
        run_until(queue, queue.now + 1)
    if is_repaired(run, lost):
        return []
    promise = 'a replica with a lost disk is replaced'
    return [Violation(promise, f'{lost} is no voter at {queue.now:.1f} s')]


def request_replacement(run: Run, lost: str) -> None:
    """Request the leader, if any, to replace a replica that lost its disk."""
    group = run.group
    name = leader_name(group)
    replica = None if name is None else replica_of(run, name)
    if name is None or replica is None:
        return
    effects = Effects()
    replace_replica(replica, group.queue.now, lost, effects)
    perform_effects(group, group.nodes_by_name[name], effects)


def is_repaired(run: Run, lost: str) -> bool:
    """Return whether every replica lists the new uid as a voter."""
    uid = uid_of(run, lost)
    return all(
        any(member.uid == uid and member.is_voter for member in live.members)
        for live in live_replicas(run.group)
    )


def run_restart(seed: int, *, naive: bool) -> list[Violation]:
    """Restart all processes after 500 edits.

    In between, check that a replica refuses a damaged log; its log is restored
    before the restart. The naive replicas skip this check and never sync.
    """
    run = make_run(seed, syncing=not naive)
    group = run.group
    if naive:
        group.uid_by_name.update((name, name) for name in NAMES)
    for number in range(EDITS_BEFORE_RESTART):
        name = f'pool-{number % 9}'
        version = max(
            table.entry_versions.get(f'pool/{name}', 0)
            for table in all_tables(run)
        )
        send_edit(run.clients, 'o1', pool_edit(f'e{number}', name, version))
        run_until(group.queue, group.queue.now + EDIT_SECONDS)
    for name in NAMES:
        kill(group, name)
    broken = [] if naive else find_accepted_damage(run)
    for name in NAMES:
        restart_later(group, name, 0)
    return broken + recover_and_check(run) + find_edit_violations(run)


def all_tables(run: Run) -> list[RoutingTable]:
    """Return the tables of all running replicas."""
    return [replica.edits.table for replica in live_replicas(run.group)]


def find_accepted_damage(run: Run) -> list[Violation]:
    """Check that a replica refuses to start on a log damaged in the middle.

    The intact log is restored after a refusal.
    """
    name = run.group.queue.rng.choice(NAMES)
    disk = run.group.nodes_by_name[name].disk
    file = disk.files_by_name['log']
    intact = bytes(file.content)
    damage_middle(disk, 'log')
    try:
        start(run.group, name)
    except DamagedFileError:
        file.content = bytearray(intact)
        file.synced = intact
        return []
    return [Violation('a damaged log is refused', f'{name} started on it')]


PROOFS = (
    Proof(
        'isolated-leader',
        'an isolated leader stops accepting within its lease; its return '
        'disturbs nothing',
        run_isolated_leader,
        ci_seeds=3,
    ),
    Proof(
        'lost-disk',
        'a replica with a lost disk is refused, then replaced; a second loss '
        'right after loses no accepted edit',
        run_lost_disk,
        ci_seeds=4,
    ),
    Proof(
        'restart',
        'no accepted edit is lost by a restart after hundreds of edits',
        run_restart,
        ci_seeds=2,
    ),
)
