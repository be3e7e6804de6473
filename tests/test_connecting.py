"""Connecting to a server whose machine loses the first packets."""

import pytest
import trio

from mustardhold.adapters import http_client
from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    open_link,
    send_request,
)
from mustardhold.tables.outcomes import Err

ADDRESS = '127.0.0.1:9'


def lose_first(monkeypatch, count):
    """Let the first tries to connect hang; return the times of all tries."""
    tried_at = []

    async def connect(_):
        tried_at.append(trio.current_time())
        if len(tried_at) <= count:
            await trio.sleep_forever()
        return trio.socket.socket()

    monkeypatch.setattr(http_client, 'connect_once', connect)
    return tried_at


@pytest.mark.parametrize(
    ('lost', 'seconds'), [(0, 0), (1, 0.15), (2, 0.45), (3, 1.05)]
)
async def test_a_lost_first_packet_is_sent_anew_soon(
    monkeypatch, autojump_clock, lost, seconds
):
    tried_at = lose_first(monkeypatch, lost)
    begin = trio.current_time()
    link = await open_link(ADDRESS)
    link.stream.socket.close()
    assert trio.current_time() - begin == pytest.approx(seconds)
    assert len(tried_at) == lost + 1


async def test_tries_end_with_the_time_of_the_request(
    monkeypatch, autojump_clock
):
    tried_at = lose_first(monkeypatch, 1_000)
    request = HttpRequest('GET', ADDRESS, '/')
    begin = trio.current_time()
    outcome = await send_request(HttpClient(), request, 2.0)
    assert isinstance(outcome, Err)
    assert trio.current_time() - begin == pytest.approx(2.0)
    assert len(tried_at) == 4
