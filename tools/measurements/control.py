"""Edits until in force, control bytes, restarts and sizes of the control."""

import logging
import math
import random
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import msgspec
import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.disk import close_folder, open_folder
from mustardhold.adapters.replica_store import (
    LOG_NAME,
    SNAPSHOT_NAME,
    open_identity,
    open_store,
    save_effects,
)
from mustardhold.daemons.table_feed import (
    TableFeed,
    follow_tables,
    make_feed,
)
from mustardhold.systems import consensus
from mustardhold.systems.edits import apply_edit
from mustardhold.systems.routing import install_table, update_addresses
from mustardhold.systems.table_changes import apply_changes, changes_since
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.consensus import ReplicaMember
from mustardhold.tables.edits import EditState
from mustardhold.tables.options import BalancerOptions
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
    start_controls,
    status_at,
    wait_for,
)
from tools.registry import Cell, Measurement, Table

REPLICAS = 3
BALANCER_COUNTS = (5, 20, 80)
SETTLE_SECONDS = 3.0
IDLE_SECONDS = 10.0
EDITS = 20
EDIT_SECONDS = 1.0
LAST_SECONDS = 2.0
TRIES = 5
RESTART_CHANGES = (0, 500, 5_000)
PLANNED_ADDRESSES = 37_000
PAGE_BYTES = 4_096
MILLISECONDS = 1_000

Row = tuple[Cell, ...]
SHARES = (0.5, 0.99, 1.0)
NOTES = (
    f'{REPLICAS} replica processes on loopback; balancers are table feeds',
    'all table feeds share one process, which spends their time too',
    'bytes are HTTP lines, headers and bodies, without TCP and IP',
    'between replicas, bytes are bodies only',
    f'{EDITS} edits of one pool, sent to the replicas in turn',
    'the latency runs from the sending, so it holds the commit',
    'start to leading holds the election timeout of 1 to 2 s',
    f'times at the planned size are the least of {TRIES}',
)


@dataclass(slots=True)
class Follower:
    """A balancer's table feed, and what it saw.

    Attributes
    ----------
    in_force_at
        Reading of the monotonic clock by version.
    """

    feed: TableFeed
    in_force_at: dict[int, float] = field(default_factory=dict)
    moved_bytes: int = 0


@dataclass(slots=True)
class Fleet:
    """Followers of running replicas, and the edits that were sent.

    Attributes
    ----------
    sent_at
        When the operator sent the edit that made a version.
    """

    running: ControlFleet
    followers: list[Follower]
    sent_at: dict[int, float] = field(default_factory=dict)
    idle_bytes: int = 0
    edit_bytes: int = 0
    idle_links: int = 0
    edit_links: int = 0


def header_bytes(headers: httpx.Headers) -> int:
    """Count the bytes of headers on the wire."""
    return sum(len(name) + len(value) + 4 for name, value in headers.raw) + 2


def make_follower(running: ControlFleet, number: int) -> Follower:
    """Make the feed of a balancer that needs no sockets."""
    name = f'b{number}'
    options = BalancerOptions(
        name,
        'dc-1',
        '127.0.0.1:1',
        '127.0.0.1:1',
        '127.0.0.1:1',
        tuple(running.controls()),
        (),
    )
    tables = BalancerTables(name, 'dc-1', View(1, {}))
    log = logging.getLogger('measurement')
    return Follower(make_feed(options, tables, SystemClock(), log))


async def follow(follower: Follower) -> None:
    """Follow the tables as a balancer does, and count the bytes."""

    async def count(reply: httpx.Response) -> None:
        await reply.aread()
        line = len(str(reply.request.url)) + len('GET  HTTP/1.1\r\n')
        follower.moved_bytes += line + header_bytes(reply.request.headers)
        follower.moved_bytes += header_bytes(reply.headers)
        follower.moved_bytes += len(reply.content)

    hooks = {'response': [count]}
    async with (
        httpx.AsyncClient(event_hooks=hooks, verify=False) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(note_versions, follower)
        nursery.start_soon(follow_tables, client, follower.feed)


async def note_versions(follower: Follower) -> None:
    """Note when each version came in force."""
    seen = 0
    while True:
        await follower.feed.watch.changed.wait()
        now = time.monotonic()
        version = follower.feed.tables.routing.version
        for one in range(seen + 1, version + 1):
            follower.in_force_at[one] = now
        seen = version


def link_bytes(running: ControlFleet) -> int:
    """Count the bodies that all replicas have sent to each other."""
    statuses = [status_at(running, name) for name in running.settings_by_name]
    return sum(
        status.counters.get('link/sent-bytes', 0)
        for status in statuses
        if status is not None
    )


def moved_bytes(fleet: Fleet) -> int:
    """Count the bytes of all followers."""
    return sum(one.moved_bytes for one in fleet.followers)


async def run_fleet(fleet: Fleet) -> None:
    """Let followers idle, then send an edit each second."""
    async with trio.open_nursery() as nursery:
        for follower in fleet.followers:
            nursery.start_soon(follow, follower)
        await trio.sleep(SETTLE_SECONDS)
        began = moved_bytes(fleet)
        links = await trio.to_thread.run_sync(link_bytes, fleet.running)
        await trio.sleep(IDLE_SECONDS)
        fleet.idle_bytes = moved_bytes(fleet) - began
        after = await trio.to_thread.run_sync(link_bytes, fleet.running)
        fleet.idle_links = after - links
        began = moved_bytes(fleet)
        await send_edits(fleet)
        fleet.edit_bytes = moved_bytes(fleet) - began
        last = await trio.to_thread.run_sync(link_bytes, fleet.running)
        fleet.edit_links = last - after
        await trio.sleep(LAST_SECONDS)
        nursery.cancel_scope.cancel()


async def send_edits(fleet: Fleet) -> None:
    """Send edits to the replicas in turn, one each second."""
    addresses = fleet.running.controls()
    async with httpx.AsyncClient(verify=False) as client:
        for number in range(EDITS):
            began = time.monotonic()
            pool = Pool('werkstatt', drained=(f'werkstatt-{number}',))
            edit = Edit(
                f'e{number}', EntryKind.POOL, pool.name, number, pool=pool
            )
            reply = await client.post(
                f'http://{addresses[number % len(addresses)]}/edits',
                content=msgspec.json.encode(edit),
            )
            reply.raise_for_status()
            fleet.sent_at[number + 1] = began
            await trio.sleep_until(
                trio.current_time() + EDIT_SECONDS - time.monotonic() + began
            )


def run_followers(count: int) -> Fleet:
    """Run replicas as processes, with some followers."""
    with tempfile.TemporaryDirectory() as folder:
        programs = processes.Fleet(Path(folder))
        try:
            fleet = follow_replicas(programs, count)
        finally:
            processes.stop_all(programs)
    return fleet


def follow_replicas(programs: processes.Fleet, count: int) -> Fleet:
    """Start replicas, and let followers see some edits."""
    running = start_controls(programs, REPLICAS)
    followers = [make_follower(running, number) for number in range(count)]
    fleet = Fleet(running, followers)
    trio.run(run_fleet, fleet)
    return fleet


def latency_rows(fleet: Fleet) -> Iterator[Row]:
    """Show how long edits took until they were in force."""
    latencies = sorted(
        (follower.in_force_at.get(version, math.inf) - sent) * MILLISECONDS
        for follower in fleet.followers
        for version, sent in fleet.sent_at.items()
    )
    for share in SHARES:
        place = min(int(share * len(latencies)), len(latencies) - 1)
        name = f'edit sent to in force, {share:.0%}'
        yield name, len(fleet.followers), round(latencies[place], 1), 'ms'


def fleet_rows(count: int) -> Iterator[Row]:
    """Measure real replicas with some followers."""
    fleet = run_followers(count)
    yield from latency_rows(fleet)
    edit_seconds = EDITS * EDIT_SECONDS
    rates = {
        'a balancer, idle': fleet.idle_bytes / IDLE_SECONDS / count,
        'a balancer, 1 edit/s': fleet.edit_bytes / edit_seconds / count,
        'between 3 replicas, idle': fleet.idle_links / IDLE_SECONDS,
        'between 3 replicas, 1 edit/s': fleet.edit_links / edit_seconds,
    }
    for name, rate in rates.items():
        yield name, count, round(rate), 'bytes/s'


def fill_folder(folder: Path, changes: int) -> None:
    """Let a replica of its own take edits, as a process would."""
    disk = open_folder(folder)
    open_identity(disk, 'c1', 'c1/1')
    me = ReplicaMember('c1/1', 'c1', 'c1')
    replica = consensus.make_replica(me, (me,), random.Random(1).random, 0)
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
    """Read the resident memory of a process."""
    fields = Path(f'/proc/{process_id}/statm').read_text('ascii').split()
    return int(fields[1]) * PAGE_BYTES


def restart_rows(changes: int) -> Iterator[Row]:
    """Measure a single replica's restart after some changes."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / 'c1'
        fill_folder(folder, changes)
        began = time.perf_counter()
        disk = open_folder(folder)
        open_store(disk)
        rebuilt = (time.perf_counter() - began) * MILLISECONDS
        close_folder(disk)
        yield 'read the folder', changes, round(rebuilt, 1), 'ms'
        for part in (LOG_NAME, SNAPSHOT_NAME):
            path = folder / part
            size = path.stat().st_size if path.exists() else 0
            yield f'size of the {part}', changes, size, 'bytes'
        yield from process_rows(Path(name), changes)


def process_rows(folder: Path, changes: int) -> Iterator[Row]:
    """Measure a process that starts on a folder."""
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

    def leads() -> bool:
        status = status_at(running, 'c1')
        return status is not None and status.has_quorum

    try:
        start_control(running, 'c1')
        seconds = wait_for(leads, 'the replica to lead')
        memory = memory_bytes(running.fleet.processes_by_name['c1'].pid)
    finally:
        processes.stop_all(running.fleet)
    yield 'process start to leading', changes, round(seconds, 2), 's'
    yield 'resident memory', changes, memory, 'bytes'


def planned_table(count: int) -> RoutingTable:
    """Make a table with one route for each address."""
    routes = {
        f'service-{number}': Route(
            f'service-{number}', (f'10.{number >> 8}.{number & 255}.1:443',)
        )
        for number in range(count)
    }
    versions = {f'route/{name}': at for at, name in enumerate(routes, 1)}
    return RoutingTable(count, routes, {}, versions)


def planned_rows() -> Iterator[Row]:
    """Measure one edit of a table at the planned size."""
    count = PLANNED_ADDRESSES
    state = EditState(planned_table(count))
    before = state.table
    whole = changes_since(before, 0)
    route = Route('service-7', ('10.255.255.255:443',))
    edit = Edit('e', EntryKind.ROUTE, route.name, 8, route=route)
    apply_edit(state, edit)
    applied = spent(lambda: apply_edit(EditState(before), edit))
    changes = changes_since(state.table, before.version)
    yield 'whole table', count, len(msgspec.json.encode(whole)), 'bytes'
    yield 'one change', count, len(msgspec.json.encode(changes)), 'bytes'
    yield 'apply an edit', count, applied, 'ms'
    for name, step in change_steps(before, state.table, changes).items():
        yield name, count, spent(step), 'ms'


def change_steps(
    before: RoutingTable, table: RoutingTable, changes: TableChanges
) -> dict[str, Callable[[], object]]:
    """Choose what a change costs replicas and balancers."""
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


def spent(action: Callable[[], object]) -> float:
    """Return the least milliseconds that some runs of an action took."""
    return round(
        min(spent_once(action) for _ in range(TRIES)) * MILLISECONDS, 2
    )


def spent_once(action: Callable[[], object]) -> float:
    """Run an action and return the seconds that it took."""
    began = time.perf_counter()
    action()
    return time.perf_counter() - began


def measure_control() -> Table:
    """Measure what edits cost, and how it grows."""
    rows: list[Row] = []
    for count in BALANCER_COUNTS:
        rows.extend(fleet_rows(count))
    for changes in RESTART_CHANGES:
        rows.extend(restart_rows(changes))
    rows.extend(planned_rows())
    return Table(
        ('what', 'balancers, changes or addresses', 'amount', 'unit'),
        rows,
        NOTES,
    )


MEASUREMENTS = (
    Measurement(
        'control',
        'edits until in force, control bytes, restarts and sizes',
        measure_control,
    ),
)
