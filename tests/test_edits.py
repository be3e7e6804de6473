"""Edits are validated, ordered and applied once per edit id."""

from mustardhold.systems import edits
from mustardhold.systems.edits import apply_edit
from mustardhold.tables.edits import EditState
from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    EntryKind,
    Finding,
    Pool,
    Refused,
    RepeatedEdit,
    Route,
)


def pool_edit(edit_id: str, version: int = 0) -> Edit:
    return Edit(edit_id, EntryKind.POOL, 'p', version, pool=Pool('p'))


def test_equal_versions_have_one_winner():
    state = EditState()
    assert apply_edit(state, pool_edit('a')) == Accepted(1)
    assert apply_edit(state, pool_edit('b')) == Conflict('a', 1)


def test_repeated_edit_gets_its_first_outcome():
    state = EditState()
    apply_edit(state, pool_edit('a'))
    apply_edit(state, pool_edit('b', 1))
    assert apply_edit(state, pool_edit('a')) == RepeatedEdit(Accepted(1))
    assert state.table.version == 2


def test_every_finding_is_reported():
    route = Route('other', ('nowhere', '10.0.0.1:80'))
    edit = Edit('', EntryKind.ROUTE, 'r', 0, route=route)
    outcome = apply_edit(EditState(), edit)
    assert isinstance(outcome, Refused)
    assert [finding.place for finding in outcome.findings] == [
        'edit_id',
        'route.name',
        'route.addresses[0]',
    ]


def test_address_must_be_in_canonical_form():
    route = Route('r', ('10.0.0.1:080',))
    edit = Edit('a', EntryKind.ROUTE, 'r', 0, route=route)
    place = 'route.addresses[0]'
    finding = Finding(place, 'must be written as 10.0.0.1:80')
    assert apply_edit(EditState(), edit) == Refused((finding,))


def test_full_table_accepts_changes_of_existing_entries(monkeypatch):
    monkeypatch.setattr(edits, 'MAX_TABLE_ENTRIES', 1)
    state = EditState()
    apply_edit(state, pool_edit('a'))
    assert apply_edit(state, pool_edit('b', 1)) == Accepted(2)
    other = Edit('c', EntryKind.POOL, 'q', 0, pool=Pool('q'))
    assert isinstance(apply_edit(state, other), Refused)


def test_oldest_edit_ids_are_dropped_first(monkeypatch):
    monkeypatch.setattr(edits, 'MAX_EDIT_RECORDS', 2)
    state = EditState()
    for number in range(3):
        apply_edit(state, pool_edit(f'e{number}', number))
    assert list(state.records_by_edit_id) == ['e1', 'e2']
    assert apply_edit(state, pool_edit('e0')) == Conflict('e2', 3)
