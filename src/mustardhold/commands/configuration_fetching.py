"""Reads the configuration in force from a control instance."""

from http import HTTPStatus

import httpx
import trio

from mustardhold.platform.configurations import READ_PATH
from mustardhold.tables.constants import MAX_CONFIGURATION_BYTES
from mustardhold.tables.outcomes import Err, Ok, Outcome

TIMEOUT_SECONDS = 5
MAX_REDIRECTS = 2
# A host name that cannot be looked up may raise a ``UnicodeError``.
REQUEST_ERRORS = (httpx.HTTPError, httpx.InvalidURL, UnicodeError)


def fetch_configuration(address: str) -> Outcome[bytes, str]:
    """Return the configuration in force, or a reason in one line."""
    return trio.run(fetch_within_timeout, address)


async def fetch_within_timeout(address: str) -> Outcome[bytes, str]:
    """Fetch with a limit on the whole time, also for a slow response.

    The timeouts of the HTTP client are for single reads.
    """
    with trio.move_on_after(TIMEOUT_SECONDS):
        try:
            return await follow_redirects(f'http://{address}{READ_PATH}')
        except REQUEST_ERRORS as error:
            return Err(str(error) or type(error).__name__)
    return Err(f'no complete response within {TIMEOUT_SECONDS} s')


async def follow_redirects(url: str) -> Outcome[bytes, str]:
    """Get a URL, and the one that a redirect names instead."""
    address = httpx.URL(url)
    async with httpx.AsyncClient(timeout=TIMEOUT_SECONDS) as client:
        for _ in range(MAX_REDIRECTS + 1):
            async with client.stream('GET', address) as reply:
                location = redirect_of(reply)
                if location is None:
                    return await read_reply(reply)
                address = location
    return Err(f'redirects more than {MAX_REDIRECTS} times')


def redirect_of(reply: httpx.Response) -> httpx.URL | None:
    """Return the URL that a redirect names, or None for another response."""
    location = reply.headers.get('location')
    if reply.status_code != HTTPStatus.TEMPORARY_REDIRECT or not location:
        return None
    return reply.url.join(location)


async def read_reply(reply: httpx.Response) -> Outcome[bytes, str]:
    """Return the body of a response, or why there is none."""
    status = f'{reply.status_code} {reply.reason_phrase}'.strip()
    if reply.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
        return Err(
            f'{status}: try another control instance, unless none is in force'
        )
    if not reply.is_success:
        return Err(
            f'{status}: is it the address where control takes configurations?'
        )
    body = bytearray()
    async for chunk in reply.aiter_bytes():
        body += chunk
        if len(body) > MAX_CONFIGURATION_BYTES:
            return Err('the response is too large for a configuration')
    return Ok(bytes(body))
