"""Time, memory and size of both tables and their edits, by entries."""

import msgspec

from mustardhold.systems.edits import apply_edit
from mustardhold.systems.routing import install_table
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.edits import EditState
from mustardhold.tables.routing import (
    Edit,
    EntryKind,
    Pool,
    Route,
    RoutingTable,
)
from mustardhold.tables.views import View
from tools.cost import memory_of, processor_seconds


def make_routing(entries: int) -> RoutingTable:
    """Build a table of services with one address each."""
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
    """Measure the memory of an installed table."""

    def build() -> BalancerTables:
        tables = BalancerTables('b1', 'dc-1', View(1, {}))
        install_table(tables, make_routing(entries))
        return tables

    return memory_of(build)


def install_seconds(entries: int) -> float:
    """Measure the time to install a table."""
    routing = make_routing(entries)
    tables = BalancerTables('b1', 'dc-1', View(1, {}))
    return processor_seconds(lambda: install_table(tables, routing))


def edit_install_seconds(entries: int) -> float:
    """Measure the time to install a table that differs by one edit."""
    state = EditState(table=make_routing(entries))
    tables = BalancerTables('b1', 'dc-1', View(1, {}))
    install_table(tables, state.table)
    route = Route('service-new', ('10.255.0.1:443',))
    edit = Edit('edit', EntryKind.ROUTE, route.name, 0, route=route)
    apply_edit(state, edit)
    return processor_seconds(lambda: install_table(tables, state.table))


def table_bytes(entries: int) -> float:
    """Return the size of a table as JSON."""
    return float(len(msgspec.json.encode(make_routing(entries))))


def make_edit(number: int) -> Edit:
    """Build an edit that creates a pool."""
    name = f'pool-{number}'
    return Edit(f'edit-{number}', EntryKind.POOL, name, 0, pool=Pool(name))


def edit_seconds(entries: int) -> float:
    """Measure the processor time to apply one edit to a table."""
    state = EditState(table=make_routing(entries))
    edits = [make_edit(number) for number in range(20)]

    def apply_all() -> None:
        for edit in edits:
            apply_edit(state, edit)

    return processor_seconds(apply_all) / len(edits)


def edit_bytes(edits: int) -> float:
    """Return the size of edits in the log."""
    return float(
        sum(len(msgspec.msgpack.encode(make_edit(n))) for n in range(edits))
    )
