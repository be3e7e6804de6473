"""Fetches newer configurations from the sources of the feed."""

import msgspec
import trio

from mustardhold.adapters.http_client import HttpRequest, send_request
from mustardhold.daemons.feed_state import (
    CHECK_SECONDS,
    DocumentSink,
    FeedClient,
)
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.constants import DOCUMENT_TIMEOUT
from mustardhold.tables.feed import DOCUMENT_PATH
from mustardhold.tables.outcomes import Err, Ok, Outcome

_document_decoder = msgspec.msgpack.Decoder(VersionedDocument)


async def fetch_documents(client: FeedClient, sink: DocumentSink) -> None:
    """Fetch each newer configuration once, apart from the polls.

    A large one takes seconds on a slow link; changes of servers must not
    wait for it.
    """
    while True:
        await client.update_found.wait()
        client.update_found = trio.Event()
        while client.newest_version > sink.version():
            if not await fetch_document(client, sink, client.newest_source):
                # The next poll finds the newer version and its source again.
                client.newest_version = sink.version()
                await trio.sleep(CHECK_SECONDS)


async def fetch_document(
    client: FeedClient, sink: DocumentSink, address: str
) -> bool:
    """Fetch the current configuration of a source and install it.

    Returns
    -------
    bool
        Whether it was newer than the one that the process had.
    """
    fetched = await request_document(client, address)
    if isinstance(fetched, Ok):
        before = sink.version()
        sink.install(fetched.value)
        if sink.version() > before:
            return True
        fetched = Err('is not newer, or unreadable')
    client.counters['feed', 'configuration-not-fetched'] += 1
    client.log.warning(
        'configuration not fetched',
        extra={'address': address, 'reason': fetched.error},
    )
    return False


async def request_document(
    client: FeedClient, address: str
) -> Outcome[VersionedDocument, str]:
    """Request a source's configuration, or return why there is none."""
    request = HttpRequest('GET', address, DOCUMENT_PATH)
    seconds = DOCUMENT_TIMEOUT.total_seconds()
    response = await send_request(client.http_client, request, seconds)
    if isinstance(response, Err):
        return Err(response.error.reason)
    if not response.value.is_success:
        return Err('was refused')
    try:
        return Ok(_document_decoder.decode(response.value.body))
    except msgspec.DecodeError as error:
        return Err(str(error))
