"""Tests of connecting to a server when the first packets are lost."""

import pytest
import trio

from mustardhold.adapters import connecting
from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    open_connection,
    send_request,
)
from mustardhold.tables.outcomes import Err

ADDRESS = '127.0.0.1:9'


def hang_first_attempts(monkeypatch, count):
    """Make the first attempts hang; return the start times of all attempts."""
    attempted_at = []

    async def connect(_):
        attempted_at.append(trio.current_time())
        if len(attempted_at) <= count:
            await trio.sleep_forever()
        return trio.socket.socket()

    monkeypatch.setattr(connecting, 'connect_once', connect)
    return attempted_at


@pytest.mark.parametrize(
    ('lost', 'max_seconds'), [(0, 0), (1, 0.03), (2, 0.08), (3, 0.15), (6, 0.5)]
)
async def test_lost_first_packet_is_retried_soon(
    monkeypatch, autojump_clock, lost, max_seconds
):
    attempted_at = hang_first_attempts(monkeypatch, lost)
    started_at = trio.current_time()
    connection = await open_connection(ADDRESS)
    connection.stream.socket.close()
    assert trio.current_time() - started_at <= max_seconds
    assert len(attempted_at) == lost + 1


async def test_first_attempt_on_a_slow_link_is_not_abandoned(
    monkeypatch, autojump_clock
):
    sockets = []

    async def connect(_):
        await trio.sleep(0.7)
        sockets.append(trio.socket.socket())
        return sockets[-1]

    monkeypatch.setattr(connecting, 'connect_once', connect)
    started_at = trio.current_time()
    connection = await open_connection(ADDRESS)
    connection.stream.socket.close()
    assert trio.current_time() - started_at == pytest.approx(0.7)
    assert all(sock.fileno() == -1 for sock in sockets)


async def test_late_connections_are_closed(monkeypatch, autojump_clock):
    sockets = []

    async def connect(_):
        attempt_started_at = trio.current_time()
        # All attempts end at the same time.
        await trio.sleep_until(attempt_started_at - attempt_started_at % 1 + 1)
        sockets.append(trio.socket.socket())
        return sockets[-1]

    monkeypatch.setattr(connecting, 'connect_once', connect)
    connection = await open_connection(ADDRESS)
    used = connection.stream.socket
    assert used is sockets[0]
    assert used.fileno() != -1
    assert all(sock.fileno() == -1 for sock in sockets[1:])
    used.close()


async def test_refusal_ends_all_attempts(monkeypatch, autojump_clock):
    async def connect(_):
        await trio.sleep(0.2)
        raise ConnectionRefusedError

    monkeypatch.setattr(connecting, 'connect_once', connect)
    started_at = trio.current_time()
    with pytest.raises(ConnectionRefusedError):
        await open_connection(ADDRESS)
    assert trio.current_time() - started_at == pytest.approx(0.2)


async def test_attempts_end_with_the_request_timeout(
    monkeypatch, autojump_clock
):
    attempted_at = hang_first_attempts(monkeypatch, 1_000)
    request = HttpRequest('GET', ADDRESS, '/')
    started_at = trio.current_time()
    outcome = await send_request(HttpClient(), request, 2.0)
    assert isinstance(outcome, Err)
    assert trio.current_time() - started_at == pytest.approx(2.0)
    assert len(attempted_at) <= 14
