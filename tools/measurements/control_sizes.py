"""Measures restart, disk, memory and processing time of control replicas."""

import random
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from mustardhold.adapters.disk import close_folder, open_folder
from mustardhold.adapters.replica_store import (
    LOG_NAME,
    SNAPSHOT_NAME,
    open_identity,
    open_store,
    save_effects,
)
from mustardhold.systems import consensus
from mustardhold.systems.edits import apply_edit
from mustardhold.systems.routing import install_table, update_addresses
from mustardhold.systems.table_changes import apply_changes, changes_since
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.consensus import ReplicaMember
from mustardhold.tables.edits import EditState
from mustardhold.tables.routing import (
    Edit,
    EntryKind,
    Pool,
    Route,
    RoutingTable,
    TableChanges,
)
from mustardhold.tables.views import View
from tools import processes
from tools.control_processes import (
    ControlFleet,
    start_control,
    status_at,
    wait_for,
)
from tools.registry import Cell

TRIES = 5
PLANNED_ADDRESSES = 37_000
PAGE_BYTES = 4_096
MILLISECONDS = 1_000

Row = tuple[Cell, ...]


def fill_folder(folder: Path, changes: int) -> None:
    """Apply edits to a single replica that stores them in a folder."""
    disk = open_folder(folder)
    open_identity(disk, 'c1', 'c1/1')
    local_member = ReplicaMember('c1/1', 'c1', 'c1')
    replica = consensus.make_replica(
        local_member, (local_member,), random.Random(1).random, 0
    )
    store, _ = open_store(disk)
    for now in (0, 3):
        save_effects(store, consensus.tick(replica, now), replica.log)
    for number in range(changes):
        name = f'pool-{number % 50}'
        version = replica.edits.table.entry_versions.get(f'pool/{name}', 0)
        edit = Edit(
            f'edit-{number:032d}',
            EntryKind.POOL,
            name,
            version,
            pool=Pool(name, drained=(f'server-{number}',)),
        )
        _, effects = consensus.propose_edit(replica, 3, edit, 0)
        save_effects(store, effects, replica.log)
    close_folder(disk)


def memory_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    fields = Path(f'/proc/{process_id}/statm').read_text('ascii').split()
    return int(fields[1]) * PAGE_BYTES


def restart_rows(changes: int) -> Iterator[Row]:
    """Yield time and sizes of a restart of one replica after some changes."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / 'c1'
        fill_folder(folder, changes)
        started = time.perf_counter()
        disk = open_folder(folder)
        open_store(disk)
        read_milliseconds = (time.perf_counter() - started) * MILLISECONDS
        close_folder(disk)
        yield 'read the folder', changes, round(read_milliseconds, 1), 'ms'
        for part in (LOG_NAME, SNAPSHOT_NAME):
            path = folder / part
            size = path.stat().st_size if path.exists() else 0
            yield f'size of the {part}', changes, size, 'bytes'
        yield from process_rows(Path(name), changes)


def process_rows(folder: Path, changes: int) -> Iterator[Row]:
    """Yield time and memory of a process that starts with a folder."""
    running = ControlFleet(processes.Fleet(folder))
    address = processes.free_tcp_address()
    running.address_by_name['c1'] = address
    running.settings_by_name['c1'] = {
        'instance_id': 'c1',
        'data_centre': 'dc-1',
        'http_address': address,
        'folder': str(folder / 'c1'),
        'replicas': [],
    }

    def is_leader() -> bool:
        status = status_at(running, 'c1')
        return status is not None and status.has_quorum

    try:
        start_control(running, 'c1')
        seconds = wait_for(is_leader, 'the replica to lead')
        memory = memory_bytes(running.fleet.processes_by_name['c1'].pid)
    finally:
        processes.stop_all(running.fleet)
    yield 'process start to leading', changes, round(seconds, 2), 's'
    yield 'resident memory', changes, memory, 'bytes'


def planned_table(count: int) -> RoutingTable:
    """Build a table with one route per address."""
    routes = {
        f'service-{number}': Route(
            f'service-{number}', (f'10.{number >> 8}.{number & 255}.1:443',)
        )
        for number in range(count)
    }
    versions = {f'route/{name}': at for at, name in enumerate(routes, 1)}
    return RoutingTable(count, routes, {}, versions)


def planned_rows() -> Iterator[Row]:
    """Yield time and sizes of one edit of a table at the planned size."""
    count = PLANNED_ADDRESSES
    state = EditState(planned_table(count))
    before = state.table
    whole = changes_since(before, 0)
    route = Route('service-7', ('10.255.255.255:443',))
    edit = Edit('e', EntryKind.ROUTE, route.name, 8, route=route)
    apply_edit(state, edit)
    applied = least_milliseconds(lambda: apply_edit(EditState(before), edit))
    changes = changes_since(state.table, before.version)
    yield 'whole table', count, len(msgspec.json.encode(whole)), 'bytes'
    yield 'one change', count, len(msgspec.json.encode(changes)), 'bytes'
    yield 'apply an edit', count, applied, 'ms'
    for name, step in change_steps(before, state.table, changes).items():
        yield name, count, least_milliseconds(step), 'ms'


def change_steps(
    before: RoutingTable, table: RoutingTable, changes: TableChanges
) -> dict[str, Callable[[], object]]:
    """Return the steps that a change takes at replicas and balancers."""
    tables = BalancerTables('b1', 'dc-1', View(1, {}))
    install_table(tables, before)
    merged = apply_changes(before, changes) or before
    return {
        'collect the changes': lambda: changes_since(table, before.version),
        'merge the changes': lambda: apply_changes(before, changes),
        'put the table in force': lambda: update_addresses(
            tables.service_by_address, before, merged
        ),
    }


def least_milliseconds(action: Callable[[], object]) -> float:
    """Return the shortest of ``TRIES`` runs of an action, in milliseconds."""
    return round(
        min(elapsed_seconds(action) for _ in range(TRIES)) * MILLISECONDS, 2
    )


def elapsed_seconds(action: Callable[[], object]) -> float:
    """Run an action and return its duration in seconds."""
    started = time.perf_counter()
    action()
    return time.perf_counter() - started
