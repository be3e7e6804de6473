"""How state, processor time and bytes grow with each quantity.

Each slope is fitted by least squares over measured points; the points are
kept beside it. Processor time is the least of some tries in one process.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import msgspec

from mustardhold.adapters.packet_codec import decode_packet, encode_packet
from mustardhold.adapters.peer_codec import encode_message
from mustardhold.systems.affinity import take_caller_packet
from mustardhold.systems.announcements import take_announcement
from mustardhold.systems.edits import apply_edit
from mustardhold.systems.routing import install_table
from mustardhold.tables.backends import (
    BackendRow,
    BackendServer,
    BackendState,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.edits import EditState
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.packets import Open, Upload
from mustardhold.tables.peers import (
    BackendDigest,
    BackendShared,
    Claim,
    Granted,
    Lease,
    Renewal,
)
from mustardhold.tables.routing import (
    Edit,
    EntryKind,
    Pool,
    Route,
    RoutingTable,
)
from mustardhold.tables.views import Member, View, ViewMember
from tools.fakes.fleet import flow_key
from tools.registry import Cell, Measurement, Table

TRIES = 3
SECONDS = 's'
BYTES = 'bytes'
SERVICE = 'werkstatt'
SERVICE_ADDRESS = '10.20.0.1:443'
MANY_CONNECTIONS = 10_000_000
PAYLOAD = b'x' * 100

Measure = Callable[[int], float]


@dataclass(frozen=True, slots=True)
class Slope:
    """A quantity that grows with another.

    Attributes
    ----------
    measure
        Takes a value of ``x_unit`` and returns one of ``y_unit``.
    """

    name: str
    x_unit: str
    y_unit: str
    points: Sequence[int]
    measure: Measure


def processor_seconds(action: Callable[[], object]) -> float:
    """Measure the processor time of an action, without collections."""
    gc.collect()
    gc.disable()
    start = time.process_time()
    action()
    spent = time.process_time() - start
    gc.enable()
    return spent


def least(slope: Slope, size: int) -> float:
    """Take the least of some tries; memory and bytes need only one."""
    tries = TRIES if slope.y_unit == SECONDS else 1
    return min(slope.measure(size) for _ in range(tries))


def memory_of(build: Callable[[], object]) -> float:
    """Measure the bytes that stay allocated after building something."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def make_server(number: int) -> BackendServer:
    """Make the announcement of a server with ample room."""
    return BackendServer(
        f'{SERVICE}-{number}',
        SERVICE,
        'dc-1',
        f'127.0.0.1:{10_000 + number % 50_000}',
        2,
        MANY_CONNECTIONS,
        0,
        0,
        BackendState.READY,
        1,
        1,
    )


def make_tables(servers: int) -> BalancerTables:
    """Make a balancer alone in its group, with some servers."""
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
        take_announcement(tables, 0, make_server(number))
    return tables


def open_flows(tables: BalancerTables, first: int, count: int) -> None:
    """Open flows at their owner."""
    outbox: Outbox = []
    for number in range(first, first + count):
        key = flow_key(number, SERVICE_ADDRESS)
        take_caller_packet(tables, 0, Open(key), outbox)
        outbox.clear()


def flow_memory(flows: int) -> float:
    """Measure the memory of flow records at an owner."""
    tables = make_tables(servers=7)
    return memory_of(lambda: open_flows(tables, 1, flows))


def opening_seconds(flows: int) -> float:
    """Measure the time of openings at their owner."""
    tables = make_tables(servers=7)
    return processor_seconds(lambda: open_flows(tables, 1, flows))


def packet_seconds(packets: int) -> float:
    """Measure decode, decision and encode of packets at their owner."""
    tables = make_tables(servers=7)
    open_flows(tables, 1, 100)
    raw = encode_packet(Upload(flow_key(7, SERVICE_ADDRESS), PAYLOAD))

    def pass_packets() -> None:
        outbox: Outbox = []
        for _ in range(packets):
            packet = decode_packet(raw)
            assert isinstance(packet, Upload)
            take_caller_packet(tables, 0, packet, outbox)
            encode_packet(packet)
            outbox.clear()

    return processor_seconds(pass_packets)


def choice_seconds(servers: int) -> float:
    """Measure one opening against the number of servers in its pool."""
    tables = make_tables(servers)
    openings = 20
    spent = processor_seconds(lambda: open_flows(tables, 1, openings))
    return spent / openings


def server_memory(servers: int) -> float:
    """Measure the memory of known backend servers."""
    return memory_of(lambda: make_tables(servers))


def announcement_seconds(announcements: int) -> float:
    """Measure the time to take announcements."""
    tables = make_tables(servers=1)
    made = [
        msgspec.structs.replace(make_server(0), sequence=number)
        for number in range(2, announcements + 2)
    ]

    def take_all() -> None:
        for announced in made:
            take_announcement(tables, 0, announced)

    return processor_seconds(take_all)


def announcement_bytes(announcements: int) -> float:
    """Count the bytes of announcements between balancers."""
    message = encode_message(BackendShared(make_server(7)))
    return float(announcements * len(message))


def digest_bytes(servers: int) -> float:
    """Count the bytes of one digest."""
    rows = tuple(
        BackendRow(f'{SERVICE}-{n}', 1, 1000, 1000, 50, BackendState.READY, 250)
        for n in range(servers)
    )
    held = {row.backend_id: 1000 for row in rows}
    digest = BackendDigest('balancer-1', rows, held)
    return float(len(encode_message(digest)))


def renewal_bytes(members: int) -> float:
    """Count the bytes of a renewal and its lease, for all members."""
    renewal = Renewal('', 'balancer-1', 1, 1e5, 1000, 1000, 1000)
    lease = Lease('', 1, 1e5, 1000)
    pair = len(encode_message(renewal)) + len(encode_message(lease))
    return float(members * pair)


def claim_bytes(members: int) -> float:
    """Count the bytes of a claim and its grant, for all members."""
    view = tuple(ViewMember(f'balancer-{n}', 1) for n in range(members))
    claim = Claim('', 'balancer-1', 1, 1e5, 1000, view, True, 1000)
    granted = Granted('', 'balancer-2', 1, 1e5, 1000, (), '', None)
    pair = len(encode_message(claim)) + len(encode_message(granted))
    return float(members * pair)


def make_routing(entries: int) -> RoutingTable:
    """Make a table of services, each with one address."""
    names = [f'service-{number}' for number in range(entries)]
    routes = {
        name: Route(name, (f'10.{number >> 8 & 255}.{number & 255}.1:443',))
        for number, name in enumerate(names)
    }
    versions = {f'route/{name}': 1 for name in names}
    return RoutingTable(
        1, routes, {name: Pool(name) for name in names}, versions
    )


def table_memory(entries: int) -> float:
    """Measure the memory of a table in force."""

    def build() -> BalancerTables:
        tables = BalancerTables('b1', 'dc-1', View(1, {}))
        install_table(tables, make_routing(entries))
        return tables

    return memory_of(build)


def install_seconds(entries: int) -> float:
    """Measure the time to put a table in force."""
    routing = make_routing(entries)
    tables = BalancerTables('b1', 'dc-1', View(1, {}))
    return processor_seconds(lambda: install_table(tables, routing))


def edit_install_seconds(entries: int) -> float:
    """Measure the time to put one edit of a table in force."""
    state = EditState(table=make_routing(entries))
    tables = BalancerTables('b1', 'dc-1', View(1, {}))
    install_table(tables, state.table)
    route = Route('service-new', ('10.255.0.1:443',))
    edit = Edit('edit', EntryKind.ROUTE, route.name, 0, route=route)
    apply_edit(state, edit)
    return processor_seconds(lambda: install_table(tables, state.table))


def table_bytes(entries: int) -> float:
    """Count the bytes of a whole table as JSON."""
    return float(len(msgspec.json.encode(make_routing(entries))))


def edit_of(number: int) -> Edit:
    """Make an edit of a pool that is new."""
    name = f'pool-{number}'
    return Edit(f'edit-{number}', EntryKind.POOL, name, 0, pool=Pool(name))


def edit_seconds(entries: int) -> float:
    """Measure the time to apply one edit to a table of some size."""
    state = EditState(table=make_routing(entries))
    edits = [edit_of(number) for number in range(20)]

    def apply_all() -> None:
        for edit in edits:
            apply_edit(state, edit)

    return processor_seconds(apply_all) / len(edits)


def edit_bytes(edits: int) -> float:
    """Count the bytes of edits as they are logged."""
    return float(
        sum(len(msgspec.msgpack.encode(edit_of(n))) for n in range(edits))
    )


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
)


def fit(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
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
    """Measure every point of a slope and fit it."""
    ys = [least(slope, point) for point in slope.points]
    growth, start = fit(slope.points, ys)
    units = (slope.name, slope.x_unit, slope.y_unit)
    line = (float(f'{growth:.4g}'), float(f'{start:.4g}'))
    xs_text = ' '.join(str(point) for point in slope.points)
    ys_text = ' '.join(f'{y:.4g}' for y in ys)
    return (*units, *line, xs_text, ys_text)


def measure_all() -> Iterator[tuple[Cell, ...]]:
    """Measure every slope."""
    for slope in SLOPES:
        yield measure_slope(slope)


def run_slopes() -> Table:
    """Measure all slopes, one after the other, in this process."""
    return Table(
        ('slope', 'x', 'y', 'y per x', 'at 0', 'points x', 'points y'),
        list(measure_all()),
        (f'processor time: least of {TRIES} tries; one process',),
    )


MEASUREMENTS = (
    Measurement(
        'slopes',
        'state, processor time and bytes against each quantity',
        run_slopes,
    ),
)
