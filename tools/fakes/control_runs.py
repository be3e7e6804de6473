"""Whole runs of the control replicas under random faults."""

from dataclasses import dataclass

from mustardhold.tables.routing import Edit, RoutingTable
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.naive_control import make_last_write_service
from tools.fakes.operators import (
    Service,
    Users,
    accepted_calls,
    add_balancer,
    find_changed_answers,
    find_lost,
    find_races,
    pool_edit,
    send_edit,
    start_operator,
)
from tools.fakes.replicas import (
    Answer,
    Group,
    at_node,
    freeze,
    kill,
    live_replicas,
    make_group,
    restart_later,
    submit,
)
from tools.registry import Violation

NAMES = ('c1', 'c2', 'c3')
BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
FORMED_SECONDS = 6.0
FAULTS_END = 30.0
IN_FORCE_SECONDS = 5.0
SETTLE_SECONDS = 12.0
MAX_FAULT_SECONDS = 4.0


@dataclass(slots=True)
class Run:
    """A group of replicas with its users."""

    group: Group
    users: Users


def service_of(group: Group) -> Service:
    """Show a group as its users reach it."""

    def give(name: str, edit: Edit, answer: Answer) -> None:
        at_node(group, name, lambda: submit(group, name, edit, answer))

    def show(name: str) -> RoutingTable | None:
        node = group.nodes_by_name[name]
        if node.replica is None or node.backlog is not None:
            return None
        return node.replica.edits.table

    names = tuple(group.nodes_by_name)
    return Service(group.queue, group.network, names, give, show)


def make_run(
    seed: int, names: tuple[str, ...] = NAMES, *, syncing: bool = True
) -> Run:
    """Start replicas and balancers, and wait until a leader is there."""
    group = make_group(seed, names, syncing=syncing)
    users = make_users(service_of(group))
    run_until(group.queue, FORMED_SECONDS)
    return Run(group, users)


def make_users(service: Service) -> Users:
    """Start the balancers of a service."""
    users = Users(service)
    for name in BALANCERS:
        add_balancer(users, name)
    return users


def make_last_write_users(seed: int) -> Users:
    """Start the naive replicas with balancers."""
    users = make_users(make_last_write_service(seed, NAMES))
    run_until(users.service.queue, FORMED_SECONDS)
    return users


def cut_off(users: Users, name: str, seconds: float) -> None:
    """Cut a replica off from all others, and heal the cut later."""
    sides = users.service.network.partition_by_node
    sides[name] = 1
    schedule(users.service.queue, seconds, lambda: sides.pop(name, None))


def start_faults(run: Run, end: float) -> None:
    """Strike random replicas with random faults until a time."""
    queue = run.group.queue
    rng = queue.rng

    def strike() -> None:
        if queue.now >= end:
            return
        schedule(queue, rng.uniform(0.3, 2.5), strike)
        name = rng.choice(list(run.group.nodes_by_name))
        seconds = rng.uniform(0.2, MAX_FAULT_SECONDS)
        rng.choice(FAULTS)(run, name, seconds)

    schedule(queue, rng.uniform(0, 1), strike)


def kill_one(run: Run, name: str, seconds: float) -> None:
    """End a process, and start it again later."""
    kill(run.group, name)
    restart_later(run.group, name, seconds)


def cut_one(run: Run, name: str, seconds: float) -> None:
    """Cut a replica off for a while."""
    cut_off(run.users, name, seconds)


def freeze_one(run: Run, name: str, seconds: float) -> None:
    """Hold a process for a while."""
    freeze(run.group, name, seconds)


def kill_in_write(run: Run, name: str, _: float) -> None:
    """End a process in the middle of one of its next disk operations."""
    disk = run.group.nodes_by_name[name].disk
    disk.operations_until_crash = run.group.queue.rng.randrange(8)


def fill_disk(run: Run, name: str, _: float) -> None:
    """Leave a disk almost no room."""
    disk = run.group.nodes_by_name[name].disk
    disk.bytes_left = run.group.queue.rng.randrange(400)


def kill_all(run: Run, _: str, seconds: float) -> None:
    """End every process at the same moment, as a power cut does."""
    for name in run.group.nodes_by_name:
        kill(run.group, name)
        restart_later(run.group, name, seconds)


FAULTS = (
    kill_one,
    cut_one,
    freeze_one,
    kill_in_write,
    fill_disk,
    kill_all,
)


def settle(run: Run) -> list[Violation]:
    """Heal everything, then check that edits work and reach everyone."""
    for node in run.group.nodes_by_name.values():
        node.disk.operations_until_crash = None
        node.disk.bytes_left = None
    queue = run.group.queue
    run_until(queue, queue.now + SETTLE_SECONDS)
    last = send_edit(run.users, 'o-last', pool_edit('last', 'last', 0))
    run_until(queue, queue.now + SETTLE_SECONDS)
    if last.outcome is None:
        return [Violation('edits are accepted again', 'no answer to the last')]
    return find_late(run.users, last.returned_at)


def find_late(users: Users, since: float) -> list[Violation]:
    """Find edits accepted since a time that took too long to a balancer."""
    return [
        Violation(
            'an accepted edit is in force on every balancer within 5 s',
            f'{call.edit_id} of {call.returned_at:.2f} s at {name}',
        )
        for call, version in accepted_calls(users)
        for name in users.balancers_by_name
        if call.returned_at >= since
        and users.in_force_at.get((name, version), float('inf'))
        > call.returned_at + IN_FORCE_SECONDS
    ]


def final_tables(run: Run) -> list[tuple[str, RoutingTable]]:
    """Return the tables of all replicas and balancers."""
    tables = [
        (replica.local_member.instance_id, replica.edits.table)
        for replica in live_replicas(run.group)
    ]
    return tables + list(run.users.balancers_by_name.items())


def find_broken(run: Run) -> list[Violation]:
    """Find every promise about edits that was broken in a run."""
    torn = [
        Violation(
            'an accepted edit never reverts',
            f'version {version} was shown with two contents',
        )
        for version in run.group.torn_versions
    ]
    contradicted = [
        Violation('an accepted edit never reverts', message)
        for message in run.group.contradicted
    ]
    return [
        *torn,
        *contradicted,
        *find_lost(run.users, final_tables(run)),
        *find_races(run.users),
        *find_changed_answers(run.users),
    ]


def start_operators(users: Users, end: float, count: int = 3) -> None:
    """Start operators who race each other."""
    for number in range(1, count + 1):
        start_operator(users, f'o{number}', end)
