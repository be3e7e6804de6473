"""Edits until in force, control bytes, restarts and sizes of the control."""

import logging
import math
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import msgspec
import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.http_client import HttpClient
from mustardhold.daemons.table_client import (
    TableClient,
    follow_tables,
    make_table_client,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.routing import (
    Edit,
    EntryKind,
    Pool,
)
from mustardhold.tables.views import View
from tools import processes
from tools.control_processes import (
    ControlFleet,
    start_controls,
    status_at,
)
from tools.measurements.control_sizes import (
    MILLISECONDS,
    TRIES,
    Row,
    planned_rows,
    restart_rows,
)
from tools.registry import Measurement, Table

REPLICAS = 3
BALANCER_COUNTS = (5, 20, 80)
SETTLE_SECONDS = 3.0
IDLE_SECONDS = 10.0
EDITS = 20
EDIT_SECONDS = 1.0
LAST_SECONDS = 2.0
RESTART_CHANGES = (0, 500, 5_000)

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

    feed: TableClient
    in_force_at: dict[int, float] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)


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
    return Follower(make_table_client(options, tables, SystemClock(), log))


async def follow(follower: Follower) -> None:
    """Follow the tables as a balancer does, and count the bytes."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(note_versions, follower)
        nursery.start_soon(follow_tables, follower.client, follower.feed)


async def note_versions(follower: Follower) -> None:
    """Note when each version came in force."""
    seen = 0
    while True:
        await follower.feed.table_publisher.changed.wait()
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
    return sum(
        one.client.sent_bytes + one.client.received_bytes
        for one in fleet.followers
    )


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
