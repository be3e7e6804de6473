"""Tests that invalid input is counted and rejected, and never ends a loop."""

import json
import logging
import socket

import httpx
import msgspec
import pytest
import trio
from hypothesis import example, given, seed, settings, strategies

from mustardhold.adapters import http_app, peer_codec
from mustardhold.adapters.http_app import json_reply, make_app
from mustardhold.adapters.json_body import read_json
from mustardhold.adapters.packet_codec import encode_packet
from mustardhold.daemons.balancer_http import make_balancer_app
from mustardhold.daemons.balancer_packets import (
    handle_data_datagram,
    handle_peer_datagram,
)
from mustardhold.daemons.balancer_state import make_balancer
from mustardhold.daemons.packet_loop import handle_batch
from mustardhold.daemons.sending import send_all
from mustardhold.systems.addresses import pack_address
from mustardhold.systems.peers import tick
from mustardhold.tables.backends import BackendServer
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.outcomes import Err, Ok
from mustardhold.tables.packets import (
    Answer,
    NotRun,
    Open,
    OpenRefused,
    Request,
    Upload,
)
from mustardhold.tables.peers import Relay
from mustardhold.tables.routing import Edit, Refused
from mustardhold.tables.views import Member
from tools.fakes.clock import FakeClock
from tools.processes import free_address

FUZZ = {'database': None, 'deadline': None}
LOG = logging.getLogger('test')


@pytest.fixture(scope='module')
def caller():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(5)
        yield sock


@pytest.fixture(scope='module')
def balancer():
    peer = free_address()
    options = BalancerOptions(
        'b1',
        'dc',
        free_address(),
        peer,
        '127.0.0.1:1',
        (),
        (Member('b1', 'dc', peer),),
    )
    made = make_balancer(options, FakeClock(), LOG)
    for _ in range(10):
        advance_clock(made, 0.9)
    yield made
    made.data_socket.close()
    made.peer_socket.close()


def advance_clock(balancer, seconds):
    balancer.clock.seconds += seconds
    outbox = []
    tick(balancer.tables, balancer.clock.monotonic(), outbox)
    send_all(balancer, outbox)


def flow_of(caller):
    host, port = caller.getsockname()
    return pack_address(f'{host}:{port}') + pack_address('10.9.9.9:443')


def counter_value(balancer, outcome):
    return balancer.tables.counters['', outcome]


def app_client(app):
    transport = httpx.ASGITransport(app)
    return httpx.AsyncClient(transport=transport, base_url='http://balancer')


@pytest.mark.parametrize(
    ('raw', 'outcome'),
    [
        (b'', 'packet-malformed'),
        (b'\x92\x01', 'packet-malformed'),
        (encode_packet(Open(b'short')), 'packet-malformed'),
        (encode_packet(Open(b'f' * 12)) + b'x', 'packet-malformed'),
        (encode_packet(Open(b'f' * 12))[:-1], 'packet-malformed'),
        (b'\x00' * 1401, 'packet-oversized'),
        (encode_packet(NotRun(b'f' * 12, b'r' * 16, '')), 'packet-wrong-side'),
    ],
)
def test_bad_packets_are_counted_and_dropped(balancer, raw, outcome):
    before = counter_value(balancer, outcome)
    handle_data_datagram(balancer, raw)
    assert counter_value(balancer, outcome) == before + 1


def test_an_unknown_service_is_refused_to_its_caller(balancer, caller):
    flow = flow_of(caller)
    handle_data_datagram(balancer, encode_packet(Open(flow)))
    raw = caller.recv(2000)
    refused = msgspec.msgpack.decode(raw, type=OpenRefused)
    assert refused == OpenRefused(flow, 'no-service')
    request = Request(flow, b'r' * 16, False, 100, b'')
    handle_data_datagram(balancer, encode_packet(request))
    advance_clock(balancer, 0.1)
    refused = msgspec.msgpack.decode(caller.recv(2000), type=NotRun)
    assert refused.request_id == b'r' * 16


def test_a_message_from_outside_the_group_is_dropped(balancer):
    relay = Relay('b9', 1, 1, Upload(b'f' * 12, b''))
    raw = peer_codec.encode_message(relay)
    before = counter_value(balancer, 'message-foreign')
    handle_peer_datagram(balancer, (raw, ('127.0.0.1', 9)))
    assert counter_value(balancer, 'message-foreign') == before + 1


def test_an_exception_never_ends_the_loop(balancer, caplog):
    waiting = [b'good', b'bad', b'bad', b'good']
    handled = []

    def receive(_):
        if not waiting:
            raise BlockingIOError
        return waiting.pop(0)

    def handle(raw):
        if raw == b'bad':
            raise ValueError(raw)
        handled.append(raw)

    before = counter_value(balancer, 'packet-failed')
    assert handle_batch(receive, handle, balancer.error_reporter) == 4
    assert handled == [b'good', b'good']
    assert counter_value(balancer, 'packet-failed') == before + 2
    assert len(caplog.records) == 1


@seed(1)
@settings(max_examples=300, **FUZZ)
@given(strategies.binary(max_size=200))
def test_any_message_of_a_peer_is_decoded_or_dropped(raw):
    message = peer_codec.decode_message(raw)
    assert message is None or peer_codec.encode_message(message)


FIELDS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=16)
    | strategies.sampled_from([b'f' * 12, b'r' * 16]),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=8,
)


@seed(1)
@settings(max_examples=300, **FUZZ)
@given(
    tag=strategies.integers(0, 80), fields=strategies.lists(FIELDS, max_size=8)
)
def test_any_fields_are_handled_or_counted(balancer, tag, fields):
    raw = msgspec.msgpack.encode((tag, *fields))
    handle_data_datagram(balancer, raw)
    handle_peer_datagram(balancer, (raw, next(iter(balancer.peer_sources))))


def test_findings_of_a_body_are_all_reported():
    body = {
        'edit_id': 7,
        'kind': 'lake',
        'name': 'p',
        'pool': {'name': 'p', 'servers': ['a', 3], 'colour': 'red'},
    }
    read = read_json(json.dumps(body).encode(), Edit)
    assert isinstance(read, Err)
    assert {finding.place for finding in read.error} == {
        'edit_id',
        'kind',
        'pool.servers[1]',
        'pool.colour',
        'expected_version',
    }


@seed(1)
@settings(max_examples=300, **FUZZ)
@given(
    strategies.binary(max_size=100)
    | strategies.dictionaries(
        strategies.sampled_from([*Edit.__struct_fields__, 'x']),
        strategies.recursive(
            strategies.none()
            | strategies.integers()
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(['name', 'servers', 'addresses']),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=6,
        ),
    ).map(lambda tree: json.dumps(tree).encode())
)
@example(raw=b'[' * 100_000)
@example(raw=b'{"edit_id":' + b'[' * 100_000)
@example(raw=b'{"name": "\xff"}')
@example(raw=b'1e999999')
def test_any_body_is_read_or_refused(raw):
    read = read_json(raw, Edit)
    assert isinstance(read, Ok) or read.error


async def test_http_refusals_have_a_status_and_findings(balancer):
    async with app_client(make_balancer_app(balancer)) as client:
        replies = [
            await client.post('/announce', content=b'{'),
            await client.post('/announce', content=b'x' * 300_000),
            await client.get('/nowhere'),
            await client.get('/announce'),
            await client.get('/explain', params={'flow': 'xyz'}),
            await client.get('/ready'),
        ]
    assert [reply.status_code for reply in replies] == [
        400,
        413,
        404,
        405,
        400,
        503,
    ]
    for reply in replies:
        assert msgspec.json.decode(reply.content, type=Refused).findings


async def test_an_invalid_announcement_is_refused_with_findings(balancer):
    server = BackendServer(
        'a b', 'p', 'dc', 'evil.example:80', 0, 1, 1, -1, 'ready', 1, 1
    )
    async with app_client(make_balancer_app(balancer)) as client:
        body = msgspec.json.encode(server)
        reply = await client.post('/announce', content=body)
    refused = msgspec.json.decode(reply.content, type=Refused)
    places = [finding.place for finding in refused.findings]
    assert places == ['backend_id', 'address', 'slots', 'load']
    assert not balancer.tables.backends_by_id


async def test_error_in_a_handler_is_answered_and_reported():
    errors = []

    async def fail(_):
        await trio.lowlevel.checkpoint()
        raise ZeroDivisionError

    app = http_app.make_app({('GET', '/'): fail}, on_error=errors.append)
    async with app_client(app) as client:
        reply = await client.get('/')
    assert reply.status_code == 500
    assert isinstance(errors[0], ZeroDivisionError)


async def test_a_request_appears_in_metrics_and_explanations(balancer, caller):
    flow, request_id = flow_of(caller), b'q' * 16
    request = Request(flow, request_id, True, 100, b'')
    handle_data_datagram(balancer, encode_packet(request))
    advance_clock(balancer, 0.1)
    handle_data_datagram(
        balancer, encode_packet(Answer(flow, request_id, 0, 1, b''))
    )
    async with app_client(make_balancer_app(balancer)) as client:
        metrics = (await client.get('/metrics')).text
        again = (await client.get('/metrics')).text
        shown = await client.get(
            '/explain', params={'request': request_id.hex()}
        )
    assert metrics == again
    assert 'mustardhold_decisions_total{outcome="no-record"' in metrics
    explained = shown.json()
    assert explained['flow']['owners'] == ['b1']
    assert explained['decisions'][0]['outcome'] == 'not-run'
    assert explained['decisions'][0]['reason']


async def test_only_listed_paths_accept_large_bodies():
    async def handle(http_request):
        return json_reply(len(http_request.body))

    handlers = {('POST', '/edits'): handle, ('POST', '/replica'): handle}
    app = make_app(handlers, max_bytes_by_path={'/replica': 400_000})
    async with app_client(app) as client:
        body = b'x' * 300_000
        replies = [
            await client.post(path, content=body) for _, path in handlers
        ]
    assert [reply.status_code for reply in replies] == [413, 200]
