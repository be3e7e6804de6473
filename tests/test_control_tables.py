"""Applying changes gives a balancer the same table as the replicas have."""

import random

from mustardhold.systems.edits import apply_edit
from mustardhold.systems.routing import install_table
from mustardhold.systems.table_changes import apply_changes, changes_since
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.edits import EditState
from mustardhold.tables.routing import (
    Edit,
    EntryKind,
    Pool,
    Route,
    empty_table,
)
from mustardhold.tables.views import View


def random_edit(rng, state, number):
    """Set or delete one of a few entries; addresses move between routes."""
    name = f'e{rng.randrange(6)}'
    kind = rng.choice(list(EntryKind))
    route = Route(name, (f'10.0.0.{rng.randrange(9)}:80',))
    is_put = rng.randrange(3) > 0
    return Edit(
        f'id-{number}',
        kind,
        name,
        state.table.entry_versions.get(f'{kind}/{name}', 0),
        route=route if is_put and kind is EntryKind.ROUTE else None,
        pool=Pool(name) if is_put and kind is EntryKind.POOL else None,
    )


def services_of(table):
    tables = BalancerTables('b', 'dc', View(1, {}))
    install_table(tables, table)
    return tables.service_by_address


def test_changes_from_any_version_lead_to_the_same_table():
    rng = random.Random(7)
    state = EditState()
    balancer = BalancerTables('b', 'dc', View(1, {}))
    tables = [empty_table()]
    for number in range(400):
        apply_edit(state, random_edit(rng, state, number))
        tables.append(state.table)
        if rng.randrange(3):
            continue
        older = rng.choice(tables)
        changes = changes_since(state.table, older.version)
        if older.version < state.table.version:
            assert apply_changes(older, changes) == state.table
        assert apply_changes(state.table, changes) is None
        newer = apply_changes(
            balancer.routing,
            changes_since(state.table, balancer.routing.version),
        )
        if newer is not None:
            install_table(balancer, newer)
        assert balancer.service_by_address == services_of(state.table)
        assert balancer.routing == state.table


def test_changes_with_a_gap_are_refused():
    state = EditState()
    for number in range(3):
        edit = Edit(
            f'{number}',
            EntryKind.POOL,
            f'p{number}',
            0,
            pool=Pool(f'p{number}'),
        )
        apply_edit(state, edit)
    assert apply_changes(empty_table(), changes_since(state.table, 2)) is None
