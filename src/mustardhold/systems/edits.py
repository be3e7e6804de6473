"""Edits of the two tables: checked, ordered, each applied once."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar

from mustardhold.systems.addresses import pack_address
from mustardhold.tables.constants import MAX_TABLE_ENTRIES
from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    EditOutcome,
    EntryKind,
    Finding,
    Pool,
    Refused,
    RepeatedEdit,
    Route,
    RoutingTable,
    empty_table,
)

Entry = TypeVar('Entry', Route, Pool)


@dataclass(slots=True)
class EditState:
    """The tables, and the outcome of each edit id."""

    table: RoutingTable = field(default_factory=empty_table)
    outcomes_by_edit_id: dict[str, EditOutcome] = field(default_factory=dict)
    last_edit_by_entry: dict[str, str] = field(default_factory=dict)


def entry_key(edit: Edit) -> str:
    """Name the entry that an edit changes."""
    return f'{edit.kind}/{edit.name}'


def find_faults(state: EditState, edit: Edit) -> Iterator[Finding]:
    """Yield everything that is wrong with an edit."""
    if not edit.edit_id:
        yield Finding('edit_id', 'must not be empty')
    if not edit.name:
        yield Finding('name', 'must not be empty')
    entry = edit.route if edit.kind is EntryKind.ROUTE else edit.pool
    other = edit.pool if edit.kind is EntryKind.ROUTE else edit.route
    if other is not None:
        yield Finding(edit.kind, 'holds an entry of the other kind')
    if entry is not None and entry.name != edit.name:
        yield Finding(f'{edit.kind}.name', f'differs from {edit.name!r}')
    if len(state.table.entry_versions) >= MAX_TABLE_ENTRIES:
        yield Finding(edit.kind, 'the table is full')
    if edit.route is not None:
        yield from find_address_faults(state.table, edit)


def find_address_faults(table: RoutingTable, edit: Edit) -> Iterator[Finding]:
    """Yield addresses of a route that are malformed or taken."""
    taken = {
        address: route.name
        for route in table.routes_by_name.values()
        for address in route.addresses
        if route.name != edit.name
    }
    addresses = edit.route.addresses if edit.route else ()
    for index, address in enumerate(addresses):
        place = f'route.addresses[{index}]'
        try:
            pack_address(address)
        except ValueError as error:
            yield Finding(place, str(error))
        owner = taken.get(address)
        if owner is not None:
            yield Finding(place, f'belongs to route {owner!r}')


def judge_edit(state: EditState, edit: Edit) -> EditOutcome:
    """Find what an edit would come to, without applying it."""
    findings = tuple(find_faults(state, edit))
    if findings:
        return Refused(findings)
    key = entry_key(edit)
    version = state.table.entry_versions.get(key, 0)
    if version != edit.expected_version:
        return Conflict(state.last_edit_by_entry.get(key, ''), version)
    return Accepted(state.table.version + 1)


def first_outcome(state: EditState, edit_id: str) -> RepeatedEdit | None:
    """Find the outcome of an edit id that was seen before."""
    outcome = state.outcomes_by_edit_id.get(edit_id)
    return None if outcome is None else RepeatedEdit(outcome)


def apply_edit(state: EditState, edit: Edit) -> EditOutcome | RepeatedEdit:
    """Apply a committed edit and remember its outcome."""
    repeated = first_outcome(state, edit.edit_id)
    if repeated is not None:
        return repeated
    outcome = judge_edit(state, edit)
    state.outcomes_by_edit_id[edit.edit_id] = outcome
    if isinstance(outcome, Accepted):
        state.table = changed_table(state.table, edit)
        state.last_edit_by_entry[entry_key(edit)] = edit.edit_id
    return outcome


def changed_table(table: RoutingTable, edit: Edit) -> RoutingTable:
    """Make the next version of the tables."""
    routes = dict(table.routes_by_name)
    pools = dict(table.pools_by_name)
    if edit.kind is EntryKind.ROUTE:
        put_entry(routes, edit.name, edit.route)
    else:
        put_entry(pools, edit.name, edit.pool)
    version = table.version + 1
    versions = {**table.entry_versions, entry_key(edit): version}
    return RoutingTable(version, routes, pools, versions)


def put_entry(
    entries: dict[str, Entry], name: str, entry: Entry | None
) -> None:
    """Set an entry, or delete it where there is none."""
    if entry is None:
        entries.pop(name, None)
    else:
        entries[name] = entry
