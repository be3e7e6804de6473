"""Asks several processes at the same time."""

from collections.abc import Mapping, Sequence

import httpx
import trio

from mustardhold.tables.outcomes import Err, Ok, Outcome

TIMEOUT_SECONDS = 3
MAX_AT_ONCE = 32

Pages = dict[str, Outcome[bytes, str]]


def fetch_each(
    addresses: Sequence[str], path: str, query: Mapping[str, str] | None = None
) -> Pages:
    """Get a page from each address; the pages stand in that order."""
    return trio.run(fetch_pages, addresses, path, query or {})


async def fetch_pages(
    addresses: Sequence[str], path: str, query: Mapping[str, str]
) -> Pages:
    """Get a page from each address, a bounded number at a time."""
    pages: Pages = dict.fromkeys(addresses, Err('not asked'))
    limiter = trio.CapacityLimiter(MAX_AT_ONCE)

    async def fetch_one(client: httpx.AsyncClient, address: str) -> None:
        async with limiter:
            pages[address] = await fetch_page(
                client, f'http://{address}{path}', query
            )

    async with (
        httpx.AsyncClient(timeout=TIMEOUT_SECONDS) as client,
        trio.open_nursery() as nursery,
    ):
        for address in addresses:
            nursery.start_soon(fetch_one, client, address)
    return pages


async def fetch_page(
    client: httpx.AsyncClient, url: str, query: Mapping[str, str]
) -> Outcome[bytes, str]:
    """Get one page, or the reason why there is none."""
    try:
        reply = await client.get(url, params=dict(query))
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        return Err(str(error) or type(error).__name__)
    if reply.is_success:
        return Ok(reply.content)
    return Err(f'{reply.status_code} {reply.text}')
