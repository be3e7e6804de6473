"""Measures edit latency, control traffic, restarts and table sizes."""

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
FINAL_WAIT_SECONDS = 2.0
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
    """A balancer's table feed, and when it installed each version.

    Attributes
    ----------
    installed_at
        Monotonic time of the installation, by version.
    """

    feed: TableClient
    installed_at: dict[int, float] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)


@dataclass(slots=True)
class FollowerFleet:
    """Followers of running replicas, and the measured edits and bytes.

    Attributes
    ----------
    sent_at
        Monotonic time at which the edit was sent, by the resulting version.
    """

    running: ControlFleet
    followers: list[Follower]
    sent_at: dict[int, float] = field(default_factory=dict)
    idle_bytes: int = 0
    edit_bytes: int = 0
    idle_link_bytes: int = 0
    edit_link_bytes: int = 0


def make_follower(running: ControlFleet, number: int) -> Follower:
    """Create the table feed of a balancer without its sockets."""
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
    """Follow the tables as a balancer does, and record the versions."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_versions, follower)
        nursery.start_soon(follow_tables, follower.client, follower.feed)


async def record_versions(follower: Follower) -> None:
    """Record when each version is installed."""
    recorded = 0
    while True:
        await follower.feed.table_publisher.changed.wait()
        now = time.monotonic()
        version = follower.feed.tables.routing.version
        for one in range(recorded + 1, version + 1):
            follower.installed_at[one] = now
        recorded = version


def link_bytes(running: ControlFleet) -> int:
    """Return the bytes of all bodies sent between the replicas."""
    statuses = [status_at(running, name) for name in running.settings_by_name]
    return sum(
        status.counters.get('link/sent-bytes', 0)
        for status in statuses
        if status is not None
    )


def transferred_bytes(fleet: FollowerFleet) -> int:
    """Return the bytes that all followers sent and received."""
    return sum(
        one.client.sent_bytes + one.client.received_bytes
        for one in fleet.followers
    )


async def run_fleet(fleet: FollowerFleet) -> None:
    """Measure the bytes of idle followers, then of edits sent each second."""
    async with trio.open_nursery() as nursery:
        for follower in fleet.followers:
            nursery.start_soon(follow, follower)
        await trio.sleep(SETTLE_SECONDS)
        started = transferred_bytes(fleet)
        link_bytes_before = await trio.to_thread.run_sync(
            link_bytes, fleet.running
        )
        await trio.sleep(IDLE_SECONDS)
        fleet.idle_bytes = transferred_bytes(fleet) - started
        after = await trio.to_thread.run_sync(link_bytes, fleet.running)
        fleet.idle_link_bytes = after - link_bytes_before
        started = transferred_bytes(fleet)
        await send_edits(fleet)
        fleet.edit_bytes = transferred_bytes(fleet) - started
        last = await trio.to_thread.run_sync(link_bytes, fleet.running)
        fleet.edit_link_bytes = last - after
        await trio.sleep(FINAL_WAIT_SECONDS)
        nursery.cancel_scope.cancel()


async def send_edits(fleet: FollowerFleet) -> None:
    """Send one edit per second, to the replicas in rotation."""
    addresses = fleet.running.controls()
    async with httpx.AsyncClient(verify=False) as client:
        for number in range(EDITS):
            started = time.monotonic()
            pool = Pool('werkstatt', drained=(f'werkstatt-{number}',))
            edit = Edit(
                f'e{number}', EntryKind.POOL, pool.name, number, pool=pool
            )
            reply = await client.post(
                f'http://{addresses[number % len(addresses)]}/edits',
                content=msgspec.json.encode(edit),
            )
            reply.raise_for_status()
            fleet.sent_at[number + 1] = started
            await trio.sleep_until(
                trio.current_time() + EDIT_SECONDS - time.monotonic() + started
            )


def run_followers(count: int) -> FollowerFleet:
    """Run replica processes with a number of followers, then stop them."""
    with tempfile.TemporaryDirectory() as folder:
        programs = processes.Fleet(Path(folder))
        try:
            fleet = follow_replicas(programs, count)
        finally:
            processes.stop_all(programs)
    return fleet


def follow_replicas(programs: processes.Fleet, count: int) -> FollowerFleet:
    """Start replicas and followers, and send the edits."""
    running = start_controls(programs, REPLICAS)
    followers = [make_follower(running, number) for number in range(count)]
    fleet = FollowerFleet(running, followers)
    trio.run(run_fleet, fleet)
    return fleet


def latency_rows(fleet: FollowerFleet) -> Iterator[Row]:
    """Yield percentiles of the time from an edit to its installation."""
    latencies = sorted(
        (follower.installed_at.get(version, math.inf) - sent) * MILLISECONDS
        for follower in fleet.followers
        for version, sent in fleet.sent_at.items()
    )
    for share in SHARES:
        index = min(int(share * len(latencies)), len(latencies) - 1)
        name = f'edit sent to in force, {share:.0%}'
        yield name, len(fleet.followers), round(latencies[index], 1), 'ms'


def fleet_rows(count: int) -> Iterator[Row]:
    """Yield latency and traffic of replicas with a number of followers."""
    fleet = run_followers(count)
    yield from latency_rows(fleet)
    edit_seconds = EDITS * EDIT_SECONDS
    rates = {
        'a balancer, idle': fleet.idle_bytes / IDLE_SECONDS / count,
        'a balancer, 1 edit/s': fleet.edit_bytes / edit_seconds / count,
        'between 3 replicas, idle': fleet.idle_link_bytes / IDLE_SECONDS,
        'between 3 replicas, 1 edit/s': fleet.edit_link_bytes / edit_seconds,
    }
    for name, rate in rates.items():
        yield name, count, round(rate), 'bytes/s'


def measure_control() -> Table:
    """Measure the costs of edits, by balancers, changes and addresses."""
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
