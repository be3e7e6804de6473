"""Measures how state, processor time and bytes grow with each quantity.

Each slope is fitted by least squares to measured points, which are stored
with it. Processor time is the minimum of ``TRIES`` runs in one process.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import msgspec

from mustardhold.adapters.packet_codec import decode_packet, encode_packet
from mustardhold.systems.affinity import handle_caller_packet
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.routing import install_table
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.packets import Open, Upload
from mustardhold.tables.routing import (
    Pool,
    Route,
    RoutingTable,
)
from mustardhold.tables.views import Member, View
from tools.cost import memory_of, processor_seconds
from tools.fakes.announcements import SERVICE, make_announcement
from tools.fakes.fleet import flow_key
from tools.message_costs import (
    announcement_bytes,
    claim_bytes,
    digest_bytes,
    renewal_bytes,
)
from tools.process_costs import idle_memory, idle_share
from tools.registry import Cell, Measurement, Table
from tools.slope_plot import draw_slopes
from tools.table_costs import (
    edit_bytes,
    edit_install_seconds,
    edit_seconds,
    install_seconds,
    table_bytes,
    table_memory,
)

TRIES = 3
SECONDS = 's'
BYTES = 'bytes'
CORE_SHARE = 'of a core'
SERVICE_ADDRESS = '10.20.0.1:443'
PAYLOAD = b'x' * 100

Measure = Callable[[int], float]


@dataclass(frozen=True, slots=True)
class Slope:
    """A resource that grows with a quantity.

    Attributes
    ----------
    measure
        Returns the resource in ``y_unit`` for a quantity in ``x_unit``.
    """

    name: str
    x_unit: str
    y_unit: str
    points: Sequence[int]
    measure: Measure


def measure_least(slope: Slope, size: int) -> float:
    """Return the minimum of some runs; memory and bytes need only one."""
    tries = TRIES if slope.y_unit == SECONDS else 1
    return min(slope.measure(size) for _ in range(tries))


def make_tables(servers: int) -> BalancerTables:
    """Create a balancer that is alone in its group and has some servers."""
    members = {'b1': Member('b1', 'dc-1', '127.0.0.1:1')}
    tables = BalancerTables('b1', 'dc-1', View(1, members))
    install_table(
        tables,
        RoutingTable(
            1,
            {SERVICE: Route(SERVICE, (SERVICE_ADDRESS,))},
            {SERVICE: Pool(SERVICE)},
            {},
        ),
    )
    for number in range(servers):
        store_announcement(tables, 0, make_announcement(number))
    return tables


def open_flows(tables: BalancerTables, first: int, count: int) -> None:
    """Open flows at their owner."""
    outbox: Outbox = []
    for number in range(first, first + count):
        key = flow_key(number, SERVICE_ADDRESS)
        handle_caller_packet(tables, 0, Open(key), outbox)
        outbox.clear()


def flow_memory(flows: int) -> float:
    """Measure the memory of flow records at an owner."""
    tables = make_tables(servers=7)
    return memory_of(lambda: open_flows(tables, 1, flows))


def opening_seconds(flows: int) -> float:
    """Measure the processor time to open some flows at their owner."""
    tables = make_tables(servers=7)
    return processor_seconds(lambda: open_flows(tables, 1, flows))


def packet_seconds(packets: int) -> float:
    """Measure the time to decode, route and encode packets at their owner."""
    tables = make_tables(servers=7)
    open_flows(tables, 1, 100)
    raw = encode_packet(Upload(flow_key(7, SERVICE_ADDRESS), PAYLOAD))

    def pass_packets() -> None:
        outbox: Outbox = []
        for _ in range(packets):
            packet = decode_packet(raw)
            assert isinstance(packet, Upload)
            handle_caller_packet(tables, 0, packet, outbox)
            encode_packet(packet)
            outbox.clear()

    return processor_seconds(pass_packets)


def choice_seconds(servers: int) -> float:
    """Measure the time of one opening, by servers in the pool."""
    tables = make_tables(servers)
    openings = 20
    seconds = processor_seconds(lambda: open_flows(tables, 1, openings))
    return seconds / openings


def server_memory(servers: int) -> float:
    """Measure the memory of a balancer with some backend servers."""
    return memory_of(lambda: make_tables(servers))


def announcement_seconds(announcements: int) -> float:
    """Measure the time to store announcements."""
    tables = make_tables(servers=1)
    announced_servers = [
        msgspec.structs.replace(make_announcement(0), sequence=number)
        for number in range(2, announcements + 2)
    ]

    def store_all() -> None:
        for announced in announced_servers:
            store_announcement(tables, 0, announced)

    return processor_seconds(store_all)


SLOPES = (
    Slope(
        'flow memory',
        'flows',
        BYTES,
        (1000, 5000, 20_000, 50_000),
        flow_memory,
    ),
    Slope(
        'opening time',
        'openings',
        SECONDS,
        (1000, 5000, 20_000),
        opening_seconds,
    ),
    Slope(
        'packet time',
        'packets',
        SECONDS,
        (10_000, 50_000, 100_000),
        packet_seconds,
    ),
    Slope(
        'choice time', 'servers', SECONDS, (10, 100, 1000, 2500), choice_seconds
    ),
    Slope('server memory', 'servers', BYTES, (100, 1000, 4000), server_memory),
    Slope(
        'announcement time',
        'announcements',
        SECONDS,
        (1000, 5000, 20_000),
        announcement_seconds,
    ),
    Slope(
        'announcement bytes',
        'announcements',
        BYTES,
        (1, 10, 100),
        announcement_bytes,
    ),
    Slope('digest bytes', 'servers', BYTES, (1, 10, 40), digest_bytes),
    Slope('renewal bytes', 'members', BYTES, (2, 5, 8), renewal_bytes),
    Slope('claim bytes', 'members', BYTES, (2, 5, 8), claim_bytes),
    Slope('table memory', 'entries', BYTES, (500, 5000, 37_000), table_memory),
    Slope(
        'install time', 'entries', SECONDS, (500, 5000, 37_000), install_seconds
    ),
    Slope(
        'edit install time',
        'entries',
        SECONDS,
        (500, 5000, 37_000),
        edit_install_seconds,
    ),
    Slope('table bytes', 'entries', BYTES, (500, 5000, 37_000), table_bytes),
    Slope('edit time', 'entries', SECONDS, (500, 5000, 37_000), edit_seconds),
    Slope('edit bytes', 'edits', BYTES, (10, 100, 1000), edit_bytes),
    Slope('idle memory', 'members', BYTES, (2, 5, 8), idle_memory),
    Slope('idle time', 'members', CORE_SHARE, (2, 5, 8), idle_share),
)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Fit a line by least squares; return its slope and intercept."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    shared = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    slope = shared / spread
    return slope, mean_y - slope * mean_x


def measure_slope(slope: Slope) -> tuple[Cell, ...]:
    """Measure all points of a slope and fit a line to them."""
    ys = [measure_least(slope, point) for point in slope.points]
    growth, start = fit_line(slope.points, ys)
    units = (slope.name, slope.x_unit, slope.y_unit)
    line = (float(f'{growth:.4g}'), float(f'{start:.4g}'))
    xs_text = ' '.join(str(point) for point in slope.points)
    ys_text = ' '.join(f'{y:.4g}' for y in ys)
    return (*units, *line, xs_text, ys_text)


def measure_all() -> Iterator[tuple[Cell, ...]]:
    """Yield the row of each slope."""
    for slope in SLOPES:
        yield measure_slope(slope)


def run_slopes() -> Table:
    """Measure and plot all slopes."""
    table = Table(
        ('slope', 'x', 'y', 'y per x', 'at 0', 'points x', 'points y'),
        list(measure_all()),
        (f'processor time: least of {TRIES} tries; one process',),
    )
    draw_slopes(table)
    return table


MEASUREMENTS = (
    Measurement(
        'slopes',
        'state, processor time and bytes against each quantity',
        run_slopes,
    ),
)
