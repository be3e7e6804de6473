"""Validation and application of edits to the tables, once per edit id."""

from collections.abc import Iterator
from typing import TypeVar

from mustardhold.systems.addresses import pack_address, unpack_address
from mustardhold.tables.constants import MAX_EDIT_RECORDS, MAX_TABLE_ENTRIES
from mustardhold.tables.edits import EditOrigin, EditRecord, EditState
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
)

Entry = TypeVar('Entry', Route, Pool)


def entry_key(edit: Edit) -> str:
    """Return the key of the entry that an edit changes."""
    return f'{edit.kind}/{edit.name}'


def find_static_errors(edit: Edit) -> Iterator[Finding]:
    """Yield errors of an edit that do not depend on the tables."""
    if not edit.edit_id:
        yield Finding('edit_id', 'must not be empty')
    if not edit.name:
        yield Finding('name', 'must not be empty')
    entry = edit.route if edit.kind is EntryKind.ROUTE else edit.pool
    other_entry = edit.pool if edit.kind is EntryKind.ROUTE else edit.route
    if other_entry is not None:
        yield Finding(edit.kind, 'must not hold an entry of the other kind')
    if entry is not None and entry.name != edit.name:
        yield Finding(f'{edit.kind}.name', f'differs from {edit.name!r}')
    addresses = edit.route.addresses if edit.route else ()
    for index, address in enumerate(addresses):
        try:
            host, port = unpack_address(pack_address(address))
        except ValueError as error:
            yield Finding(f'route.addresses[{index}]', str(error))
            continue
        if address != f'{host}:{port}':
            yield Finding(
                f'route.addresses[{index}]', f'must be written as {host}:{port}'
            )


def find_edit_errors(state: EditState, edit: Edit) -> Iterator[Finding]:
    """Yield all errors of an edit."""
    yield from find_static_errors(edit)
    versions = state.table.entry_versions
    if entry_key(edit) not in versions and len(versions) >= MAX_TABLE_ENTRIES:
        yield Finding(edit.kind, 'the table is full')
    if edit.route is not None:
        yield from find_address_conflicts(state.table, edit.route)


def find_address_conflicts(
    table: RoutingTable, route: Route
) -> Iterator[Finding]:
    """Yield addresses of a route that belong to another route."""
    addresses = set(route.addresses)
    owner_by_address = {
        address: other.name
        for other in table.routes_by_name.values()
        if other.name != route.name
        and not addresses.isdisjoint(other.addresses)
        for address in other.addresses
    }
    for index, address in enumerate(route.addresses):
        owner = owner_by_address.get(address)
        if owner is not None:
            yield Finding(
                f'route.addresses[{index}]', f'belongs to route {owner!r}'
            )


def evaluate_edit(state: EditState, edit: Edit) -> EditOutcome:
    """Return the outcome of an edit without applying it."""
    findings = tuple(find_edit_errors(state, edit))
    if findings:
        return Refused(findings)
    key = entry_key(edit)
    version = state.table.entry_versions.get(key, 0)
    if version != edit.expected_version:
        return Conflict(state.last_edit_by_entry.get(key, ''), version)
    return Accepted(state.table.version + 1)


def find_recorded_outcome(
    state: EditState, edit_id: str
) -> RepeatedEdit | None:
    """Return the recorded outcome of an edit id, if there is one."""
    record = state.records_by_edit_id.get(edit_id)
    return None if record is None else RepeatedEdit(record.outcome)


def apply_edit(
    state: EditState, edit: Edit, origin: EditOrigin | None = None
) -> EditOutcome | RepeatedEdit:
    """Apply a committed edit, and record its outcome."""
    repeated = find_recorded_outcome(state, edit.edit_id)
    if repeated is not None:
        return repeated
    outcome = evaluate_edit(state, edit)
    state.records_by_edit_id[edit.edit_id] = EditRecord(outcome, origin)
    if len(state.records_by_edit_id) > MAX_EDIT_RECORDS:
        drop_oldest_record(state)
    if isinstance(outcome, Accepted):
        state.table = changed_table(state.table, edit)
        state.last_edit_by_entry[entry_key(edit)] = edit.edit_id
    return outcome


def drop_oldest_record(state: EditState) -> None:
    """Drop the record of the edit id that was applied first."""
    state.records_by_edit_id.pop(next(iter(state.records_by_edit_id)))


def copy_state(state: EditState) -> EditState:
    """Copy a state, so that later edits change only one of the two."""
    return EditState(
        state.table,
        dict(state.records_by_edit_id),
        dict(state.last_edit_by_entry),
    )


def changed_table(table: RoutingTable, edit: Edit) -> RoutingTable:
    """Return the next version of the tables."""
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
    """Set an entry, or delete it if there is no new value."""
    if entry is None:
        entries.pop(name, None)
    else:
        entries[name] = entry
