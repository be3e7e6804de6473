"""Tests of the check of configurations before they are sent."""

import io
import json
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mustardhold.cli import main
from mustardhold.commands import configuration_fetching
from mustardhold.platform.configuration_check import check_configuration
from mustardhold.platform.configuration_differences import read_fields
from mustardhold.platform.configurations import READ_PATH, validate_document
from mustardhold.tables.constants import MAX_CONFIGURATION_BYTES
from mustardhold.tables.outcomes import Err

DATA = Path(__file__).parent / 'data' / 'configurations'
IN_FORCE = DATA / 'in-force.json'
NEW = DATA / 'new.json'
FUZZ_RUNS = 200


def changed(text, replacement):
    """Return the configuration in force with one piece of text replaced."""
    raw = IN_FORCE.read_text()
    assert raw.count(text) >= 1
    return raw.replace(text, replacement, 1).encode()


def found(raw, in_force=None):
    """Return severity and location of all findings."""
    findings = check_configuration(raw, in_force).findings
    return [(rated.severity, rated.finding.place) for rated in findings]


@pytest.fixture
def run(tmp_path, capsys):
    """Return a function that checks a body and returns code and output."""

    def check(raw, *options):
        path = tmp_path / 'body.json'
        path.write_bytes(raw)
        code = main(['check-configuration', str(path), *options])
        caught = capsys.readouterr()
        return code, caught.out, caught.err

    return check


@pytest.mark.parametrize(
    ('text', 'replacement', 'expected'),
    [
        ('"weight": 10', '"weight": 0', 'routes[1].split[1].weight'),
        ('"service": "photos-2"', '"service": "photos"', 'services[2]'),
        (
            '"target_latency_ms": 500',
            '"target_latency_ms": 2500',
            'routes[0].target_latency_ms',
        ),
        (
            '"idle_timeout_ms": 15000',
            '"idle_timeout_ms": 5999',
            'limits.idle_timeout_ms',
        ),
        ('"kind": "download"', '"kind": "downlaod"', 'routes[1].kind'),
        (
            '"host": "198.18.0.2", "path_prefix": "/80/"',
            '"host": "198.18.0.1", "path_prefix": "80"',
            'routes[0]',
        ),
    ],
)
def test_ineffective_entry_or_contradiction_is_a_warning(
    text, replacement, expected
):
    """Control accepts these, so only the check can tell an operator."""
    raw = changed(text, replacement)
    assert not isinstance(validate_document(raw), Err)
    assert ('warning', expected) in found(raw)


@pytest.mark.parametrize(
    ('text', 'replacement', 'expected'),
    [
        ('"target_latency_ms": 500,', '', [('note', 'services[0]')]),
        ('"priority": 1', '"priority": 3', [('note', 'services[0]')]),
        ('"cold_per_s": 5', '"cold_per_s": 0', []),
        ('"version": 7', '"version":  7', []),
    ],
)
def test_note_does_not_fail_the_check(run, text, replacement, expected):
    """A script that sends a configuration after code 0 was blocked by notes."""
    raw = changed(text, replacement)
    assert found(raw) == expected
    assert run(raw)[0] == 0


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b' \n',
        b'\xff\xfe{',
        b'<html>',
        b'[]',
        b'[' * 100_000,
        IN_FORCE.read_bytes()[:-5],
        changed('"version": 7', '"version": ' + '9' * 5_000),
        changed('"version": 7', '"version": "7"'),
        changed('"version": 7', '"version": 7, "x": ' + '[' * 995 + ']' * 995),
        changed('"path_prefix": "/80/"', '"path_prefix": "/80/", "host": "x"'),
        changed('"name": "orders"', '"name": "\\ud800"'),
        changed('"max_flows": 2000', '"max_flows": 0'),
        IN_FORCE.read_bytes() + b' ' * MAX_CONFIGURATION_BYTES,
    ],
    ids=lambda raw: repr(raw[:12]),
)
def test_bad_file_is_reported_without_a_traceback(run, raw):
    code, output, errors = run(raw, '--against', str(IN_FORCE))
    assert (code, errors) == (1, '')
    assert '\nerror  ' in f'\n{output}'
    assert json.loads(run(raw, '--json')[1])['errors']


def test_fields_that_cannot_be_read_are_not_compared(run):
    """Bad text in an unknown field made every route look removed."""
    raw = changed('"version": 7', '"version": 7, "x": "\xff"')
    raw = raw.replace('\xff'.encode(), b'\xff')
    output = run(raw, '--against', str(IN_FORCE))[1]
    assert 'removed' not in output
    assert 'not compared with version 7' in output


def test_malformed_json_is_located_by_line_and_column():
    """A byte's number does not lead an operator to a missing comma."""
    raw = changed('"version": 7,', '"version": 7')
    (error, _) = check_configuration(raw, None).findings
    assert '(line 3, column 3)' in error.finding.message


def test_errors_are_those_of_control():
    """An error that only one of both finds is met when it is too late."""
    raw = changed('"service": "orders"', '"service": "none"')
    raw = raw.replace(b'"photos-2", "health', b'"photos", "health')
    findings = check_configuration(raw, None).findings
    errors = {one for severity, one in findings if severity == 'error'}
    assert errors == set(validate_document(raw).error)


def test_findings_are_in_the_order_of_the_document():
    """Sorted as text, routes[10] stood before routes[2]."""
    body = json.loads(IN_FORCE.read_bytes())
    first = body['routes'][0]
    body['routes'] = [
        {**first, 'name': f'r-{n}', 'host': f'198.18.1.{n}', 'kind': 'odd'}
        for n in range(12)
    ]
    reordered = {'services': body.pop('services'), **body}
    assert [place for _, place in found(json.dumps(reordered).encode())] == [
        'services[1]',
        'services[2]',
        *(f'routes[{n}].kind' for n in range(12)),
    ]


def test_differences_name_each_changed_field(run):
    code, output, _ = run(NEW.read_bytes(), '--against', str(IN_FORCE))
    assert code == 0
    assert output.splitlines()[:-1] == [
        'changed routes[0].timeout_ms (orders): 2500 -> 3000',
        'changed routes[0].max_attempts (orders): 2 -> 3',
        'changed routes[1].split[0].weight (photos): 90 -> 80',
        'changed routes[1].split[1].weight (photos): 10 -> 20',
        'added   routes[2] (search)',
        'removed routes (lookup)',
        'changed services[1].tls (photos): absent -> {"versions": ["1....',
        'changed limits.idle_timeout_ms: 15000 -> 20000',
    ]


def test_absent_field_equals_its_default():
    """Moving a service in the list or writing a default changes nothing."""
    body = json.loads(IN_FORCE.read_bytes())
    body['services'].reverse()
    body['services'][0]['cold_per_s'] = 0
    body['routes'][0]['split'] = []
    body['version'] = 8
    in_force = read_fields(IN_FORCE.read_bytes()).value
    report = check_configuration(json.dumps(body).encode(), in_force)
    assert (report.findings, report.differences) == ((), ())


@pytest.mark.parametrize(('version', 'code'), [(6, 1), (7, 1), (8, 0)])
def test_version_that_changes_nothing_is_a_warning(run, version, code):
    raw = changed('"version": 7', f'"version": {version}')
    assert run(raw, '--against', str(IN_FORCE))[0] == code


def test_control_characters_of_a_name_are_escaped(run):
    """A name with escape sequences would rewrite the terminal."""
    raw = changed('"name": "lookup"', '"name": "\\u001b[2J"')
    output = run(raw, '--against', str(IN_FORCE))[1]
    assert '\x1b' not in output
    assert '\\x1b[2J' in output


def test_name_that_the_terminal_cannot_show_is_escaped(tmp_path, monkeypatch):
    """A name with an umlaut ended the command where output is ASCII."""
    path = tmp_path / 'body.json'
    path.write_bytes(changed('"name": "lookup"', '"name": "s\u00fcche"'))
    output = io.TextIOWrapper(io.BytesIO(), encoding='ascii')
    monkeypatch.setattr(sys, 'stdout', output)
    assert main(['check-configuration', str(path)]) == 0
    assert main(['check-configuration', str(path), '--against', str(NEW)]) == 1
    output.flush()
    assert b'(s\\xfcche)' in output.buffer.getvalue()


def test_port_0_is_not_taken_as_the_default_port(capsys):
    """The client asked port 80 instead."""
    arguments = ['check-configuration', str(NEW), '--against', '127.0.0.1:0']
    assert main(arguments) == 2
    assert '127.0.0.1:0: No such file' in capsys.readouterr().err


@seed(6)
@settings(max_examples=FUZZ_RUNS, deadline=None, database=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ),
    st.sampled_from(('version', 'routes', 'services', 'limits', 'extra')),
)
def test_any_value_of_a_field_is_checked(value, name):
    in_force = read_fields(IN_FORCE.read_bytes()).value
    body = {**json.loads(IN_FORCE.read_bytes()), name: value}
    check_configuration(json.dumps(body).encode(), in_force)


@pytest.mark.parametrize('path', ['none.json', '.', 'a\0b', '127.0.0.1:1'])
def test_unreadable_file_or_address_is_one_line(capsys, tmp_path, path):
    assert main(['check-configuration', str(tmp_path / path)]) == 2
    assert capsys.readouterr().err.count('\n') == 1
    assert main(['check-configuration', str(NEW), '--against', path]) == 2
    assert capsys.readouterr().err.count('\n') == 1


@pytest.fixture
def serve():
    """Return a function that serves replies by path on a loopback address."""
    servers = []

    def start(replies):
        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                status, headers, content = replies[self.path]
                self.send_response(status)
                for name, text in headers.items():
                    self.send_header(name, text)
                self.end_headers()
                for piece in content:
                    self.wfile.write(piece)

            def log_message(self, *_):
                """Leave standard error to the command."""

        server = ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        servers.append(server)
        threading.Thread(
            target=server.serve_forever, args=(0.02,), daemon=True
        ).start()
        return f'127.0.0.1:{server.server_port}'

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


def test_version_in_force_is_read_through_two_redirects(run, serve):
    """Control instances may redirect a read to the one that can answer."""
    address = serve(
        {
            READ_PATH: (307, {'Location': '/second'}, []),
            '/second': (307, {'Location': '/third'}, []),
            '/third': (200, {}, [IN_FORCE.read_bytes()]),
        }
    )
    code, output, _ = run(NEW.read_bytes(), '--against', address)
    assert code == 0
    assert '8 differences from version 7' in output


@pytest.mark.parametrize(
    ('reply', 'reason'),
    [
        ((503, {}, []), 'try another control instance'),
        ((404, {}, [b'<html>\n</html>']), 'is it the address'),
        ((200, {}, [b'<html>\n</html>']), 'not a configuration'),
        ((307, {'Location': READ_PATH}, []), 'more than 2 times'),
        ((307, {'Location': 'ftp://a'}, []), 'unsupported protocol'),
        ((307, {'Location': 'http://a..b'}, []), 'idna'),
        ((200, {}, [b' ' * MAX_CONFIGURATION_BYTES, b' ']), 'too large'),
    ],
    ids=lambda value: str(value)[:20],
)
def test_unusable_reply_is_one_line(run, serve, reply, reason):
    address = serve({READ_PATH: reply})
    code, output, errors = run(NEW.read_bytes(), '--against', address)
    assert (code, output, errors.count('\n')) == (2, '', 1)
    assert reason in errors


def test_slow_reply_is_given_up_after_the_timeout(run, serve, monkeypatch):
    """Single reads are in time where a server sends a byte now and then."""
    monkeypatch.setattr(configuration_fetching, 'TIMEOUT_SECONDS', 0.3)
    stopped = threading.Event()
    pieces = iter(lambda: b'' if stopped.wait(0.1) else b' ', b'')
    address = serve({READ_PATH: (200, {}, pieces)})
    code, _, errors = run(NEW.read_bytes(), '--against', address)
    stopped.set()
    assert code == 2
    assert 'no complete response within 0.3 s' in errors
