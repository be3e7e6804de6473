"""Cost of a packet beside a bare socket loop, and of a flow in memory."""

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Iterator, Sequence

import trio

from mustardhold.daemons.balancer_state import Balancer
from mustardhold.daemons.packet_loop import bind_socket
from mustardhold.systems.affinity import handle_caller_packet
from mustardhold.tables.constants import PACKETS_PER_BATCH
from mustardhold.tables.outbox import Outbox, ToBackend
from mustardhold.tables.packets import Open, Upload
from tools.measurements.packet_paths import (
    BARE,
    PAYLOAD,
    Bench,
    Path,
    bare_path,
    data_path,
    empty,
    flow_keys,
    make_balancer_under_test,
    peer_path,
    settle,
)
from tools.measurements.token_paths import (
    OPENING,
    TOKEN,
    UNLOGGED,
    token_paths,
)
from tools.processes import LOOPBACK
from tools.registry import Measurement, Table

ROUNDS = 600
FEW_FLOWS, MORE_FLOWS, MOST_FLOWS = 10_000, 100_000, 300_000
SETTLED_GOAL = 0.5
OWNER_GOAL = 0.25
GROWTH_GOAL = 1.2
TOKEN_GOAL = 1.2
LOG_GOAL = 0.9
MEMORY_FLOWS = 20_000
SEED = 1
SETTLED = 'settled'
RELAYED = 'relayed to the owner'
TAKEN = 'taken by the owner'
THROUGH = 'through an owner, both hops'


async def time_paths(bench: Bench, paths: Sequence[Path], rounds: int) -> None:
    """Time a batch of each path in turn, many times."""
    for path in paths:
        await run_batch(bench, path)
        path.seconds.clear()
    for _ in range(rounds):
        for path in bench.rng.sample(paths, len(paths)):
            await run_batch(bench, path)


async def run_batch(bench: Bench, path: Path) -> None:
    """Send a batch and time how long the path takes for it.

    Raises
    ------
    RuntimeError
        If packets were lost on the way.
    """
    target = path.sock.getsockname()
    for _ in range(PACKETS_PER_BATCH):
        bench.feeder.sendto(path.draw(), target)
    started = time.perf_counter()
    await trio.lowlevel.wait_readable(path.sock)
    taken = path.drain()
    path.seconds.append(time.perf_counter() - started)
    arrived = empty(bench.sink) + empty(bench.feeder)
    if (taken, arrived) != (PACKETS_PER_BATCH, PACKETS_PER_BATCH):
        raise RuntimeError(f'{path.name}: took {taken}, sent on {arrived}')


def packet_seconds(path: Path) -> float:
    """Median time of one packet."""
    return statistics.median(path.seconds) / PACKETS_PER_BATCH


def measure_memory(bench: Bench) -> float:
    """Bytes that one more open flow takes at its owner."""
    balancer = make_balancer_under_test(bench, ('b1',), ())
    flows = flow_keys(MEMORY_FLOWS)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for flow in flows:
        opening = Open(bytes(bytearray(flow)))
        handle_caller_packet(balancer.tables, time.monotonic(), opening, [])
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    close(balancer)
    return (after - before) / MEMORY_FLOWS


def close(balancer: Balancer) -> None:
    """Close a balancer's sockets."""
    balancer.data_socket.close()
    balancer.peer_socket.close()


def is_settled_built(balancer: Balancer, flow: bytes) -> bool:
    """Tell whether a settled bucket is served without its owner."""
    outbox: Outbox = []
    packet = Upload(flow, PAYLOAD)
    handle_caller_packet(balancer.tables, time.monotonic(), packet, outbox)
    return bool(outbox) and isinstance(outbox[0], ToBackend)


def make_paths(bench: Bench) -> Iterator[Path]:
    """Make every path."""
    flows = flow_keys(MOST_FLOWS)
    few = flows[:FEW_FLOWS]
    yield bare_path(bench, few)
    settled = make_balancer_under_test(bench, ('b2',), ())
    settle(settled)
    if is_settled_built(settled, few[0]):
        yield data_path(bench, SETTLED, settled, few)
    relaying = make_balancer_under_test(bench, ('b2',), ())
    yield data_path(bench, RELAYED, relaying, few)
    owning = make_balancer_under_test(bench, ('b1',), few)
    yield peer_path(bench, TAKEN, owning, few)
    for count in (FEW_FLOWS, MORE_FLOWS, MOST_FLOWS):
        held = make_balancer_under_test(bench, ('b1',), flows[:count])
        yield data_path(bench, owner_name(count), held, flows[:count])
    yield from token_paths(bench)


def owner_name(count: int) -> str:
    """Name the path at an owner of some flows."""
    return f'owner of {count} flows'


def time_all(bench: Bench) -> dict[str, float]:
    """Time every path; give the seconds that a packet takes."""
    paths = list(make_paths(bench))
    gc.collect()
    gc.freeze()
    trio.run(time_paths, bench, paths, ROUNDS)
    gc.unfreeze()
    seconds = {path.name: packet_seconds(path) for path in paths}
    seconds[THROUGH] = seconds[RELAYED] + seconds[TAKEN]
    return seconds


def notes_on(seconds: dict[str, float], memory: float) -> Iterator[str]:
    """Tell how the figures were taken, and the goals."""
    yield (
        f'median of {ROUNDS} batches of {PACKETS_PER_BATCH} packets of '
        f'{len(PAYLOAD)} bytes, seed {SEED}; paths in turn on one core'
    )
    yield (
        f'goal: settled at least {SETTLED_GOAL} of the bare loop, through an '
        f'owner at least {OWNER_GOAL}'
    )
    few = seconds[owner_name(FEW_FLOWS)]
    growth = seconds[owner_name(MOST_FLOWS)] / few
    yield (
        f'a packet at {MOST_FLOWS} flows takes {growth:.2f} times as long as '
        f'at {FEW_FLOWS}; goal at most {GROWTH_GOAL}'
    )
    yield f'memory of a flow at its owner: {memory:.0f} bytes'
    yield (
        f'a packet by its token takes {seconds[TOKEN] / seconds[SETTLED]:.2f} '
        f'times as long as a settled one; goal at most {TOKEN_GOAL}'
    )
    yield (
        'openings by token a second with logs, as share of those without: '
        f'{seconds[UNLOGGED] / seconds[OPENING]:.2f}; goal at least {LOG_GOAL}'
    )
    if SETTLED not in seconds:
        yield 'settled path: not built yet'


def run_packets() -> Table:
    """Measure packets a second on each path, in one run."""
    bench = Bench(
        bind_socket(f'{LOOPBACK}:0'),
        bind_socket(f'{LOOPBACK}:0'),
        random.Random(SEED),
    )
    seconds = time_all(bench)
    bare = seconds[BARE]
    rows = [
        (name, round(1 / one), round(bare / one, 3))
        for name, one in seconds.items()
    ]
    return Table(
        ('path', 'packets a second', 'share of the bare loop'),
        rows,
        tuple(notes_on(seconds, measure_memory(bench))),
    )


MEASUREMENTS = (
    Measurement(
        'packets',
        'packets a second on each path, beside a bare socket loop',
        run_packets,
    ),
)
