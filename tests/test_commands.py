"""Tests of the operator's commands with simulated responses of a fleet."""

import os
import sys
from datetime import UTC, datetime, timedelta

import msgspec
import pytest

from mustardhold.cli import main
from mustardhold.commands import explain, status
from mustardhold.commands.edits import report_outcome
from mustardhold.commands.output import print_line
from mustardhold.tables.outcomes import Err, Ok
from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    EntryKind,
    Finding,
    NoQuorum,
    Refused,
    RepeatedEdit,
    empty_table,
)
from mustardhold.tables.status import (
    BalancerStatus,
    ControlStatus,
    DecisionEntry,
    Explanation,
    FlowExplanation,
)

FLOW = 'c6336407' + '9c40' + '0a140002' + '01bb'
REQUEST = '0f' * 16
NOON = datetime(2026, 12, 4, 12, tzinfo=UTC)


def balancer(name, version):
    return BalancerStatus(name, 'dc', version, 3, ('b1', 'b2'), 7, (), {})


def decision(name, seconds):
    at = NOON + timedelta(seconds=seconds)
    text = ('forwarded', '127.0.0.1:9', 'the flow is placed on this server')
    return DecisionEntry(name, at, FLOW, REQUEST, *text, 4, 3)


def patch_responses(monkeypatch, module, responses):
    monkeypatch.setattr(module, 'fetch_all', lambda *_: responses)


def encoded(value):
    return Ok(msgspec.json.encode(value))


def test_status_shows_the_lag_of_each_process(monkeypatch, capsys):
    responses = {
        'a:1': encoded(balancer('b1', 4)),
        'a:2': encoded(balancer('b2', 3)),
        'a:3': encoded(ControlStatus('c1', 'dc', empty_table(), 0)),
    }
    patch_responses(monkeypatch, status, responses)
    assert main(['status', '--at', 'a:1']) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[-7:-4] for line in lines[1:3]] == [
        ['0', '3', '2'],
        ['1', '3', '2'],
    ]
    assert 'control' in lines[3]


def test_status_fails_if_a_process_is_unreachable(monkeypatch, capsys):
    responses = {'a:1': encoded(balancer('b1', 4)), 'a:2': Err('refused')}
    patch_responses(monkeypatch, status, responses)
    assert main(['status', '--at', 'a:1', '--json']) == 1
    caught = capsys.readouterr()
    assert 'a:2: refused' in caught.err
    assert msgspec.json.decode(caught.out)['a:1']['table_version'] == 4


def test_explain_merges_decisions_by_time(monkeypatch, capsys):
    flow = FlowExplanation(
        'b1', FLOW, 'katalog', 9, ('b1',), 's1', 'ready', 4, 3
    )
    responses = {
        'a:1': encoded(Explanation(flow, (decision('b1', 2),))),
        'a:2': encoded(Explanation(None, (decision('b2', 1),))),
    }
    patch_responses(monkeypatch, explain, responses)
    subject = '198.51.100.7:40000,10.20.0.2:443'
    assert main(['explain', subject, '--at', 'a:1']) == 0
    lines = capsys.readouterr().out.splitlines()
    assert 'of katalog, bucket 9, owners b1, recorded on s1' in lines[0]
    assert [line.split()[1] for line in lines[1:]] == ['b2:', 'b1:']


def test_explain_parses_its_subject():
    by_address = explain.parse_subject('198.51.100.7:40000,10.20.0.2:443')
    assert by_address == Ok([{'flow': FLOW}])
    assert explain.parse_subject(FLOW) == Ok([{'flow': FLOW}])
    both = [{'request': REQUEST}, {'edit': REQUEST}]
    assert explain.parse_subject(REQUEST) == Ok(both)
    assert explain.parse_subject('friday-1') == Ok([{'edit': 'friday-1'}])
    assert isinstance(explain.parse_subject('nowhere,10.20.0.2:443'), Err)


@pytest.mark.parametrize('subject', ['a:1,b', 'friday-1'])
def test_explain_fails_without_a_record(monkeypatch, capsys, subject):
    patch_responses(monkeypatch, explain, {'a:1': Err('404')})
    assert main(['explain', subject, '--at', 'a:1']) in {1, 2}
    assert capsys.readouterr().err


@pytest.mark.parametrize(
    ('outcome', 'code', 'text'),
    [
        (Accepted(4), 0, 'edit e accepted as version 4'),
        (RepeatedEdit(Accepted(4)), 0, 'version 4, as the first time'),
        (Conflict('other', 5), 1, "edit 'other' changed the entry first"),
        (Refused((Finding('name', 'is bad'),)), 1, 'name: is bad'),
        (NoQuorum(None), 1, 'edit not stored'),
    ],
)
def test_outcome_of_an_edit_is_printed(capsys, outcome, code, text):
    edit = Edit('e', EntryKind.POOL, 'p', 0)
    assert report_outcome(edit, outcome) == code
    caught = capsys.readouterr()
    assert text in caught.out + caught.err


def test_startup_error_is_printed(tmp_path, capsys):
    path = tmp_path / 'control.yaml'
    path.write_text(
        'instance_id: c1\ndata_centre: dc\nfolder: /proc/none\n'
        'http_address: 127.0.0.1:1\nreplicas: []\n'
    )
    assert main(['control', '--settings', str(path)]) == 1
    assert 'cannot run' in capsys.readouterr().err


def test_output_is_dropped_once_its_reader_has_closed_it(monkeypatch):
    """Piped into head, a long output ended with a traceback."""
    reader, writer = os.pipe()
    os.close(reader)
    with os.fdopen(writer, 'w', buffering=1) as closed:
        monkeypatch.setattr(sys, 'stdout', closed)
        print_line('dropped')
