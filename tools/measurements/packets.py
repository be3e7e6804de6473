"""Measures packet rates against a bare socket loop, and memory per flow."""

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
    PacketPath,
    Testbed,
    bare_path,
    data_path,
    discard_received,
    flow_keys,
    install_settled_placements,
    make_balancer_under_test,
    peer_path,
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
AT_OWNER = 'taken by the owner'
VIA_OWNER = 'through an owner, both hops'


async def time_paths(
    testbed: Testbed, paths: Sequence[PacketPath], rounds: int
) -> None:
    """Time batches of all paths, in random order in each round."""
    for path in paths:
        await run_batch(testbed, path)
        path.seconds.clear()
    for _ in range(rounds):
        for path in testbed.rng.sample(paths, len(paths)):
            await run_batch(testbed, path)


async def run_batch(testbed: Testbed, path: PacketPath) -> None:
    """Send a batch and record how long the path takes to handle it.

    Raises
    ------
    RuntimeError
        If packets were lost.
    """
    target = path.sock.getsockname()
    for _ in range(PACKETS_PER_BATCH):
        testbed.feeder.sendto(path.make_datagram(), target)
    started = time.perf_counter()
    await trio.lowlevel.wait_readable(path.sock)
    handled = path.drain()
    path.seconds.append(time.perf_counter() - started)
    arrived = discard_received(testbed.sink) + discard_received(testbed.feeder)
    if (handled, arrived) != (PACKETS_PER_BATCH, PACKETS_PER_BATCH):
        raise RuntimeError(
            f'{path.name}: handled {handled}, forwarded {arrived}'
        )


def packet_seconds(path: PacketPath) -> float:
    """Return the median time per packet."""
    return statistics.median(path.seconds) / PACKETS_PER_BATCH


def measure_memory(testbed: Testbed) -> float:
    """Return the memory of one more open flow at its owner."""
    balancer = make_balancer_under_test(testbed, ('b1',), ())
    flows = flow_keys(MEMORY_FLOWS)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for flow in flows:
        opening = Open(bytes(bytearray(flow)))
        handle_caller_packet(balancer.tables, time.monotonic(), opening, [])
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    close_sockets(balancer)
    return (after - before) / MEMORY_FLOWS


def close_sockets(balancer: Balancer) -> None:
    """Close the sockets of a balancer."""
    balancer.data_socket.close()
    balancer.peer_socket.close()


def bypasses_owner(balancer: Balancer, flow: bytes) -> bool:
    """Return whether packets of a settled bucket go straight to the server."""
    outbox: Outbox = []
    packet = Upload(flow, PAYLOAD)
    handle_caller_packet(balancer.tables, time.monotonic(), packet, outbox)
    return bool(outbox) and isinstance(outbox[0], ToBackend)


def create_paths(testbed: Testbed) -> Iterator[PacketPath]:
    """Create all paths."""
    flows = flow_keys(MOST_FLOWS)
    few = flows[:FEW_FLOWS]
    yield bare_path(testbed, few)
    settled = make_balancer_under_test(testbed, ('b2',), ())
    install_settled_placements(settled)
    if bypasses_owner(settled, few[0]):
        yield data_path(testbed, SETTLED, settled, few)
    relaying = make_balancer_under_test(testbed, ('b2',), ())
    yield data_path(testbed, RELAYED, relaying, few)
    owning = make_balancer_under_test(testbed, ('b1',), few)
    yield peer_path(testbed, AT_OWNER, owning, few)
    for count in (FEW_FLOWS, MORE_FLOWS, MOST_FLOWS):
        held = make_balancer_under_test(testbed, ('b1',), flows[:count])
        yield data_path(testbed, owner_name(count), held, flows[:count])
    yield from token_paths(testbed)


def owner_name(count: int) -> str:
    """Return the name of the path at an owner of a number of flows."""
    return f'owner of {count} flows'


def measure_packet_seconds(testbed: Testbed) -> dict[str, float]:
    """Time all paths; return the seconds per packet, by path."""
    paths = list(create_paths(testbed))
    gc.collect()
    gc.freeze()
    trio.run(time_paths, testbed, paths, ROUNDS)
    gc.unfreeze()
    seconds = {path.name: packet_seconds(path) for path in paths}
    seconds[VIA_OWNER] = seconds[RELAYED] + seconds[AT_OWNER]
    return seconds


def make_notes(seconds: dict[str, float], memory: float) -> Iterator[str]:
    """Yield notes on the conditions and goals of the measurement."""
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
    """Measure packets per second on all paths in one run."""
    testbed = Testbed(
        bind_socket(f'{LOOPBACK}:0'),
        bind_socket(f'{LOOPBACK}:0'),
        random.Random(SEED),
    )
    seconds = measure_packet_seconds(testbed)
    bare = seconds[BARE]
    rows = [
        (name, round(1 / one), round(bare / one, 3))
        for name, one in seconds.items()
    ]
    return Table(
        ('path', 'packets a second', 'share of the bare loop'),
        rows,
        tuple(make_notes(seconds, measure_memory(testbed))),
    )


MEASUREMENTS = (
    Measurement(
        'packets',
        'packets a second on each path, beside a bare socket loop',
        run_packets,
    ),
)
