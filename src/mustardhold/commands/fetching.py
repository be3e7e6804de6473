"""Concurrent HTTP queries to several processes."""

from collections.abc import Mapping, Sequence

import httpx
import trio

from mustardhold.tables.outcomes import Err, Ok, Outcome

TIMEOUT_SECONDS = 3
MAX_AT_ONCE = 32

Responses = dict[str, Outcome[bytes, str]]


def fetch_all(
    addresses: Sequence[str], path: str, query: Mapping[str, str] | None = None
) -> Responses:
    """Query all addresses; the responses are in the order of the addresses."""
    return trio.run(fetch_responses, addresses, path, query or {})


async def fetch_responses(
    addresses: Sequence[str], path: str, query: Mapping[str, str]
) -> Responses:
    """Query all addresses with a limit on concurrent requests."""
    responses: Responses = dict.fromkeys(addresses, Err('not queried'))
    limiter = trio.CapacityLimiter(MAX_AT_ONCE)

    async def fetch_one(client: httpx.AsyncClient, address: str) -> None:
        async with limiter:
            responses[address] = await fetch_response(
                client, f'http://{address}{path}', query
            )

    async with (
        httpx.AsyncClient(timeout=TIMEOUT_SECONDS) as client,
        trio.open_nursery() as nursery,
    ):
        for address in addresses:
            nursery.start_soon(fetch_one, client, address)
    return responses


async def fetch_response(
    client: httpx.AsyncClient, url: str, query: Mapping[str, str]
) -> Outcome[bytes, str]:
    """Return the body of a successful response, or the reason of failure."""
    try:
        reply = await client.get(url, params=dict(query))
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        return Err(str(error) or type(error).__name__)
    if reply.is_success:
        return Ok(reply.content)
    return Err(f'{reply.status_code} {reply.text}')
