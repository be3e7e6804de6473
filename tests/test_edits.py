"""Edits are checked, ordered and applied once."""

from mustardhold.adapters.edit_log import LOG_NAME, append_edit, open_log
from mustardhold.systems.edits import EditState, apply_edit
from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    EntryKind,
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


def test_log_survives_a_torn_tail(tmp_path):
    log, _ = open_log(tmp_path)
    append_edit(log, pool_edit('a'))
    append_edit(log, pool_edit('b', 1))
    path = tmp_path / LOG_NAME
    path.write_bytes(path.read_bytes()[:-3])
    _, edits = open_log(tmp_path)
    assert [edit.edit_id for edit in edits] == ['a']
