"""Measures traffic between balancers, idle and during changes."""

from collections import Counter

from tools.fakes.event_queue import run_until
from tools.fakes.fleet import (
    DATA_MESSAGES,
    PRODUCT,
    Fleet,
    make_fleet,
)
from tools.fakes.servers import make_servers
from tools.fakes.traffic import FlowNumbers, Traffic, start_traffic
from tools.proofs import owner_loss, planned_change
from tools.proofs.faults import BALANCERS, Fault
from tools.registry import Cell, Measurement, Table

SEED = 1
SETTLED_AT = 30.0
WINDOW_SECONDS = 20.0
DATA_KINDS = {kind.__name__ for kind in DATA_MESSAGES}
SERVICES = ('werkstatt', 'katalog')

Sent = Counter[tuple[str, str]]


def no_change(_: Fleet, start: float) -> None:
    """Do nothing, for the cases without a change."""


CASES: tuple[tuple[str, float, Fault], ...] = (
    ('idle', 0, no_change),
    ('200 openings a second', 100, no_change),
    ('and a server is drained', 100, planned_change.drain),
    ('and a balancer leaves', 100, planned_change.leave),
    ('and all balancers restart', 100, planned_change.restart_all),
    ('and a balancer is lost', 100, owner_loss.lose_one),
)


def bytes_per_second(counts: Sent, *, with_data: bool) -> list[float]:
    """Return the bytes per second that each balancer sends."""
    totals: Counter[str] = Counter()
    for (sender, kind), count in counts.items():
        if with_data or kind not in DATA_KINDS:
            totals[sender] += count
    return [totals[name] / WINDOW_SECONDS for name in BALANCERS]


def largest_kinds(counts: Sent) -> str:
    """Format the four kinds of control messages with the most bytes."""
    totals: Counter[str] = Counter()
    for (_, kind), count in counts.items():
        if kind not in DATA_KINDS:
            totals[kind] += count
    return ', '.join(
        f'{kind} {round(count / WINDOW_SECONDS / len(BALANCERS))}'
        for kind, count in totals.most_common(4)
    )


def start_callers(fleet: Fleet, openings_per_second: float) -> None:
    """Start traffic to both services, unless the rate is 0."""
    if not openings_per_second:
        return
    numbers = FlowNumbers()
    end = SETTLED_AT + WINDOW_SECONDS
    for service in SERVICES:
        traffic = Traffic(service, openings_per_second, 60, 5)
        start_traffic(fleet, traffic, end, numbers)


def measure_case(
    name: str, openings_per_second: float, change: Fault
) -> tuple[Cell, ...]:
    """Measure one case over a window after the start of its change."""
    servers = (*make_servers('werkstatt', 7), *make_servers('katalog', 3))
    fleet = make_fleet(SEED, PRODUCT, BALANCERS, servers)
    run_until(fleet.queue, 3)
    start_callers(fleet, openings_per_second)
    change(fleet, SETTLED_AT)
    run_until(fleet.queue, SETTLED_AT)
    before = Counter(fleet.bytes_by_message)
    packets, relayed = fleet.packets, fleet.relayed
    run_until(fleet.queue, SETTLED_AT + WINDOW_SECONDS)
    counts = Counter(fleet.bytes_by_message)
    counts.subtract(before)
    share = (fleet.relayed - relayed) / max(fleet.packets - packets, 1)
    return (
        name,
        *summarize(counts),
        round(share * 100, 1),
        largest_kinds(counts),
    )


def summarize(counts: Sent) -> tuple[int, int, int]:
    """Return mean and maximum rate without data, and the maximum with it."""
    control = bytes_per_second(counts, with_data=False)
    whole = bytes_per_second(counts, with_data=True)
    mean = sum(control) / len(control)
    return round(mean), round(max(control)), round(max(whole))


def run_control_bytes() -> Table:
    """Measure all cases."""
    return Table(
        (
            'case',
            'control bytes/s, mean',
            'control bytes/s, largest',
            'with relayed data, largest',
            'packets relayed, %',
            'largest kinds (bytes/s for each balancer)',
        ),
        [measure_case(*case) for case in CASES],
        (
            (
                'Seewinkel: 5 balancers, 7 and 3 hosts; flows of 60 s with an '
                f'upload each 5 s; seed {SEED}; a window of {WINDOW_SECONDS} s '
                f'from {SETTLED_AT} s of virtual time, the change at its start.'
            ),
            (
                'Relay and RecordChain carry openings and packets of callers; '
                'all else counts as control.'
            ),
        ),
    )


MEASUREMENTS = (
    Measurement(
        'control-bytes',
        'bytes a second between balancers, idle and under change',
        run_control_bytes,
    ),
)
