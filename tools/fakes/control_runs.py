"""Runs of a group of control replicas under random faults."""

from dataclasses import dataclass

from mustardhold.tables.routing import Edit, RoutingTable
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.naive_control import make_last_write_service
from tools.fakes.operators import (
    Clients,
    ControlService,
    accepted_calls,
    add_balancer,
    find_changed_outcomes,
    find_lost_edits,
    find_unordered_edits,
    pool_edit,
    send_edit,
    start_operator,
)
from tools.fakes.replicas import (
    Group,
    Reply,
    freeze,
    kill,
    live_replicas,
    make_group,
    restart_later,
    run_on_node,
    submit,
)
from tools.registry import Violation

NAMES = ('c1', 'c2', 'c3')
BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
FORMATION_SECONDS = 6.0
FAULTS_END = 30.0
MAX_INSTALL_SECONDS = 5.0
SETTLE_SECONDS = 12.0
MAX_FAULT_SECONDS = 4.0


@dataclass(slots=True)
class Run:
    """A group of replicas with its operators and balancers."""

    group: Group
    clients: Clients


def make_control_service(group: Group) -> ControlService:
    """Make the interface through which clients reach a group."""

    def submit_edit(name: str, edit: Edit, reply: Reply) -> None:
        run_on_node(group, name, lambda: submit(group, name, edit, reply))

    def read_table(name: str) -> RoutingTable | None:
        node = group.nodes_by_name[name]
        if node.replica is None or node.backlog is not None:
            return None
        return node.replica.edits.table

    names = tuple(group.nodes_by_name)
    return ControlService(
        group.queue, group.network, names, submit_edit, read_table
    )


def make_run(
    seed: int, names: tuple[str, ...] = NAMES, *, syncing: bool = True
) -> Run:
    """Start replicas and balancers, and wait until a leader is elected."""
    group = make_group(seed, names, syncing=syncing)
    clients = make_clients(make_control_service(group))
    run_until(group.queue, FORMATION_SECONDS)
    return Run(group, clients)


def make_clients(service: ControlService) -> Clients:
    """Start the balancers that poll a control service."""
    clients = Clients(service)
    for name in BALANCERS:
        add_balancer(clients, name)
    return clients


def make_last_write_clients(seed: int) -> Clients:
    """Start the last-write-wins replicas and their balancers."""
    clients = make_clients(make_last_write_service(seed, NAMES))
    run_until(clients.service.queue, FORMATION_SECONDS)
    return clients


def partition_replica(clients: Clients, name: str, seconds: float) -> None:
    """Partition a replica from all other nodes, and heal it later."""
    sides = clients.service.network.partition_by_node
    sides[name] = 1
    schedule(clients.service.queue, seconds, lambda: sides.pop(name, None))


def start_random_faults(run: Run, end: float) -> None:
    """Inject random faults into random replicas until a virtual time."""
    queue = run.group.queue
    rng = queue.rng

    def inject() -> None:
        if queue.now >= end:
            return
        schedule(queue, rng.uniform(0.3, 2.5), inject)
        name = rng.choice(list(run.group.nodes_by_name))
        seconds = rng.uniform(0.2, MAX_FAULT_SECONDS)
        rng.choice(FAULTS)(run, name, seconds)

    schedule(queue, rng.uniform(0, 1), inject)


def kill_one(run: Run, name: str, seconds: float) -> None:
    """Kill a process and restart it later."""
    kill(run.group, name)
    restart_later(run.group, name, seconds)


def partition_one(run: Run, name: str, seconds: float) -> None:
    """Partition a replica from the others for some seconds."""
    partition_replica(run.clients, name, seconds)


def freeze_one(run: Run, name: str, seconds: float) -> None:
    """Freeze a process for some seconds."""
    freeze(run.group, name, seconds)


def kill_in_write(run: Run, name: str, _: float) -> None:
    """Kill a process during one of its next eight disk operations."""
    disk = run.group.nodes_by_name[name].disk
    disk.operations_until_crash = run.group.queue.rng.randrange(8)


def fill_disk(run: Run, name: str, _: float) -> None:
    """Leave less than 400 bytes free on a disk."""
    disk = run.group.nodes_by_name[name].disk
    disk.bytes_left = run.group.queue.rng.randrange(400)


def kill_all(run: Run, _: str, seconds: float) -> None:
    """Kill every process at the same time, as a power failure does."""
    for name in run.group.nodes_by_name:
        kill(run.group, name)
        restart_later(run.group, name, seconds)


FAULTS = (
    kill_one,
    partition_one,
    freeze_one,
    kill_in_write,
    fill_disk,
    kill_all,
)


def recover_and_check(run: Run) -> list[Violation]:
    """Heal all faults, then check that edits are accepted and installed."""
    for node in run.group.nodes_by_name.values():
        node.disk.operations_until_crash = None
        node.disk.bytes_left = None
    queue = run.group.queue
    run_until(queue, queue.now + SETTLE_SECONDS)
    last = send_edit(run.clients, 'o-last', pool_edit('last', 'last', 0))
    run_until(queue, queue.now + SETTLE_SECONDS)
    if last.outcome is None:
        return [Violation('edits are accepted again', 'no answer to the last')]
    return find_late_installs(run.clients, last.returned_at)


def find_late_installs(clients: Clients, since: float) -> list[Violation]:
    """Find edits accepted since a time that a balancer installed too late."""
    return [
        Violation(
            'an accepted edit is in force on every balancer within 5 s',
            f'{call.edit_id} of {call.returned_at:.2f} s at {name}',
        )
        for call, version in accepted_calls(clients)
        for name in clients.balancers_by_name
        if call.returned_at >= since
        and clients.installed_at.get((name, version), float('inf'))
        > call.returned_at + MAX_INSTALL_SECONDS
    ]


def final_tables(run: Run) -> list[tuple[str, RoutingTable]]:
    """Return the current tables of all replicas and balancers by name."""
    tables = [
        (replica.local_member.instance_id, replica.edits.table)
        for replica in live_replicas(run.group)
    ]
    return tables + list(run.clients.balancers_by_name.items())


def find_edit_violations(run: Run) -> list[Violation]:
    """Find all violations of the guarantees for edits in a run."""
    torn = [
        Violation(
            'an accepted edit never reverts',
            f'version {version} was shown with two contents',
        )
        for version in run.group.ambiguous_versions
    ]
    contradictions = [
        Violation('an accepted edit never reverts', message)
        for message in run.group.contradictions
    ]
    return [
        *torn,
        *contradictions,
        *find_lost_edits(run.clients, final_tables(run)),
        *find_unordered_edits(run.clients),
        *find_changed_outcomes(run.clients),
    ]


def start_operators(clients: Clients, end: float, count: int = 3) -> None:
    """Start operators that send concurrent edits."""
    for number in range(1, count + 1):
        start_operator(clients, f'o{number}', end)
