"""HTTP between processes: kept connections, limits, and bad peers."""

import socket
from contextlib import suppress
from http import HTTPStatus

import pytest
import trio

from mustardhold.adapters.http_app import HandlerRequest, Reply, make_app
from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    send_request,
)
from mustardhold.adapters.http_server import serve_http
from mustardhold.tables.outcomes import Err, Ok
from tools.processes import free_tcp_address

PATIENCE_SECONDS = 10


async def echo(ask: HandlerRequest) -> Reply:
    return Reply(HTTPStatus.OK, ask.name.encode() + b'|' + ask.body)


async def fail(_: HandlerRequest) -> Reply:
    raise RuntimeError('a fault of the handler')


HANDLERS = {
    ('POST', '/echo'): echo,
    ('POST', '/things/*/touch'): echo,
    ('GET', '/fail'): fail,
}


@pytest.fixture
async def address(nursery):
    own = free_tcp_address()
    stopping = trio.Event()
    app = make_app(HANDLERS, {'/echo': 1_000_000})
    nursery.start_soon(serve_http, app, own, stopping)
    while True:
        probe = await send_request(
            HttpClient(), HttpRequest('GET', own, '/'), 1
        )
        if isinstance(probe, Ok):
            break
        await trio.sleep(0.01)
    yield own
    stopping.set()


async def ask(client, address, method, target, body=b''):
    request = HttpRequest(method, address, target, body)
    return await send_request(client, request, PATIENCE_SECONDS)


async def test_one_connection_carries_many_requests(address):
    client = HttpClient()
    for number in range(5):
        body = b'x' * number * 100_000
        answer = await ask(client, address, 'POST', '/echo', body)
        assert answer.value.body == b'|' + body
    assert [len(idle) for idle in client.idle_by_address.values()] == [1]


@pytest.mark.parametrize(
    ('method', 'target', 'body', 'status'),
    [
        ('POST', '/echo', b'', 200),
        ('POST', '/echo', b'x' * 1_000_001, 413),
        ('GET', '/echo', b'', 405),
        ('GET', '/nowhere', b'', 404),
        ('GET', '/fail', b'', 500),
        ('POST', '/things/i-7/touch', b'', 200),
        ('POST', '/things//touch', b'', 200),
        ('POST', '/things/a/b/touch', b'', 404),
    ],
)
async def test_each_request_has_its_status(
    address, method, target, body, status
):
    answer = await ask(HttpClient(), address, method, target, body)
    assert answer.value.status == status


async def test_path_names_its_subject(address):
    answer = await ask(HttpClient(), address, 'POST', '/things/i-7/touch', b'y')
    assert answer.value.body == b'i-7|y'


@pytest.mark.parametrize(
    'raw',
    [
        b'\x00\x01\x02\r\n\r\n',
        b'GET / HTTP/9.9\r\n\r\n',
        b'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab',
        b'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n',
        b'A' * 200_000,
        b'',
    ],
    ids=['binary', 'version', 'cut-off', 'length', 'endless-head', 'nothing'],
)
async def test_bad_peer_ends_only_its_own_connection(address, raw):
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    with suppress(trio.BrokenResourceError):
        await stream.send_all(raw)
    await stream.aclose()
    answer = await ask(HttpClient(), address, 'POST', '/echo', b'z')
    assert answer.value.body == b'|z'


async def test_refused_connection_was_certainly_not_sent():
    answer = await ask(HttpClient(), free_tcp_address(), 'GET', '/')
    assert isinstance(answer, Err)
    assert answer.error.is_unsent


async def test_silent_server_times_out_and_nothing_is_kept():
    client = HttpClient()
    with socket.create_server(('127.0.0.1', 0)) as silent:
        own = f'127.0.0.1:{silent.getsockname()[1]}'
        answer = await send_request(client, HttpRequest('GET', own, '/'), 0.05)
    assert isinstance(answer, Err)
    assert not answer.error.is_unsent
    assert not client.idle_by_address.get(own)


async def test_connection_closed_meanwhile_is_replaced(address):
    client = HttpClient()
    await ask(client, address, 'POST', '/echo')
    for idle in client.idle_by_address.values():
        idle[0].stream.socket.shutdown(socket.SHUT_RDWR)
    answer = await ask(client, address, 'POST', '/echo', b'again')
    assert answer.value.body == b'|again'


async def test_answer_that_is_cut_off_is_a_failure():
    async def answer_half(stream):
        await stream.receive_some(1000)
        await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab')
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer_half, 0)
        port = listeners[0].socket.getsockname()[1]
        answer = await ask(HttpClient(), f'127.0.0.1:{port}', 'GET', '/')
        nursery.cancel_scope.cancel()
    assert isinstance(answer, Err)
