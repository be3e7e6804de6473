"""Serves the feed from disk while the rest of a control program loads.

After a loss of all power, every balancer waits for its tables, and most of a
control program's start is the loading of modules that these need not wait
for. So the first polls are answered with what the disk holds, between the
imports: a thread would not run while the interpreter loads modules. This
module imports little, and must not import trio. Nothing that it sends counts
as up to date.
"""

import os
import selectors
import socket
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import h11
import msgspec

from mustardhold.adapters.directory_store import DirectoryStore, load_reports
from mustardhold.adapters.disk import FolderDisk
from mustardhold.adapters.document_store import (
    load_document,
    load_evacuations,
)
from mustardhold.adapters.http_cycle import (
    REQUEST_ID,
    find_request_id,
    prepare_reuse,
)
from mustardhold.systems.addresses import split_address
from mustardhold.tables.constants import RESTORED_REPORT_AGE
from mustardhold.tables.directory import DirectoryRow, ServerReport, ServerState
from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.feed import (
    DOCUMENT_PATH,
    FEED_PATH,
    FeedPosition,
    FeedReply,
)

BACKLOG = 256
READ_BYTES = 65_536
RUN_ID_BYTES = 8
NO_LOCK: Final = -1
# A large configuration may not fit in the buffer of a socket at once.
SEND_SECONDS = 0.2
# Looking for polls at each import would cost more than it saves.
ANSWER_INTERVAL_SECONDS = 0.004


@dataclass(slots=True)
class EarlyFeed:
    """A server that answers whenever it is called between two imports.

    Attributes
    ----------
    run_id
        Id of this run; a poll that names it has been answered before.
    bodies_by_target
        The prepared responses.
    answered
        Number of responses sent.
    answer_at
        When to look for polls next; local clock, in seconds.
    """

    listener: socket.socket
    run_id: str
    bodies_by_target: dict[bytes, bytes]
    selector: selectors.BaseSelector = field(
        default_factory=selectors.DefaultSelector
    )
    answered: int = 0
    answer_at: float = 0

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> None:
        """Answer polls; called by the import system before each import.

        It finds no module, so the next finder is asked.
        """
        now = time.monotonic()
        if now >= self.answer_at:
            self.answer_at = now + ANSWER_INTERVAL_SECONDS
            answer_polls(self)


@dataclass(slots=True)
class EarlyConnection:
    """A connection of a watcher, and the request that is being read."""

    sock: socket.socket
    protocol: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.SERVER)
    )
    target: bytes = b''
    request_id: bytes = b''
    body: bytearray = field(default_factory=bytearray)


def start_early_feed(address: str, folder: str) -> EarlyFeed | None:
    """Start to serve what a data directory holds.

    Returns
    -------
    EarlyFeed or None
        None if the directory holds no configuration or no servers, or the
        address is not free yet.
    """
    disk = FolderDisk(Path(folder), NO_LOCK)
    document = load_document(disk)
    reports = load_reports(DirectoryStore(disk))
    if not document.version or not reports:
        return None
    try:
        listener = listen(address)
    except OSError:
        # The full server reports the error if it lasts.
        return None
    run_id = os.urandom(RUN_ID_BYTES).hex()
    feed = EarlyFeed(
        listener,
        run_id,
        {
            FEED_PATH.encode(): msgspec.json.encode(
                make_early_reply(
                    run_id, document.version, reports, load_evacuations(disk)
                )
            ),
            DOCUMENT_PATH.encode(): msgspec.msgpack.encode(document),
        },
    )
    feed.selector.register(listener, selectors.EVENT_READ)
    sys.meta_path.insert(0, feed)
    return feed


def listen(address: str) -> socket.socket:
    """Return a non-blocking listening socket.

    Raises
    ------
    OSError
        If the address is in use.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(split_address(address))
    except OSError:
        sock.close()
        raise
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def make_early_reply(
    run_id: str,
    version: int,
    reports: tuple[ServerReport, ...],
    evacuations: EvacuationState,
) -> FeedReply:
    """Make the reply to a watcher that knows nothing of this run."""
    age_ms = round(RESTORED_REPORT_AGE.total_seconds() * 1000)
    newest_by_id = {report.server_id: report for report in reports}
    rows = tuple(
        DirectoryRow(
            report, age_ms, age_ms, report.state is not ServerState.ENDED
        )
        for report in newest_by_id.values()
    )
    return FeedReply(
        FeedPosition(run_id),
        rows,
        version,
        silent=(),
        evacuations=evacuations if evacuations.revision else None,
    )


def stop_early_feed(feed: EarlyFeed) -> socket.socket:
    """Stop serving and return the listening socket, for the full server.

    Connections that wait are closed, so that their watchers poll again.
    """
    sys.meta_path.remove(feed)
    for key in tuple(feed.selector.get_map().values()):
        if isinstance(key.data, EarlyConnection):
            key.data.sock.close()
    feed.selector.close()
    return feed.listener


def answer_polls(feed: EarlyFeed) -> None:
    """Accept the waiting connections and answer the polls that have arrived."""
    for key, _ in feed.selector.select(timeout=0):
        if key.fileobj is feed.listener:
            accept_connections(feed)
        elif not read_connection(feed, key.data):
            feed.selector.unregister(key.fileobj)
            key.data.sock.close()


def accept_connections(feed: EarlyFeed) -> None:
    """Accept the waiting connections, and read what has arrived on them."""
    with suppress(OSError):
        for _ in range(BACKLOG):
            sock, _ = feed.listener.accept()
            sock.setblocking(False)
            connection = EarlyConnection(sock)
            feed.selector.register(sock, selectors.EVENT_READ, connection)


def read_connection(feed: EarlyFeed, connection: EarlyConnection) -> bool:
    """Read from a connection and answer its request once it is complete.

    Returns
    -------
    bool
        Whether the connection stays open.
    """
    try:
        raw = connection.sock.recv(READ_BYTES)
    except BlockingIOError:
        return True
    except OSError:
        return False
    try:
        connection.protocol.receive_data(raw)
        return bool(raw) and handle_events(feed, connection)
    except (OSError, h11.ProtocolError):
        return False


def handle_events(feed: EarlyFeed, connection: EarlyConnection) -> bool:
    """Handle the protocol events that have arrived.

    Raises
    ------
    h11.ProtocolError
        If the request is malformed.
    OSError
        If the response cannot be sent in time.
    """
    while True:
        event = connection.protocol.next_event()
        if isinstance(event, h11.Request):
            connection.target = event.target
            connection.request_id = find_request_id(event.headers)
            connection.body.clear()
        elif isinstance(event, h11.Data):
            connection.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return answer(feed, connection)
        else:
            return event is h11.NEED_DATA


def answer(feed: EarlyFeed, connection: EarlyConnection) -> bool:
    """Answer a request.

    A watcher that has been answered waits: there is nothing newer before the
    whole program runs.

    Returns
    -------
    bool
        Whether the connection stays open.
    """
    body = feed.bodies_by_target.get(connection.target)
    if body is None:
        return False
    if feed.run_id.encode() in connection.body:
        return True
    protocol = connection.protocol
    headers = [(b'content-length', b'%d' % len(body))]
    if connection.request_id:
        headers.append((REQUEST_ID, connection.request_id))
    response = h11.Response(status_code=200, headers=headers)
    parts = (response, h11.Data(data=body), h11.EndOfMessage())
    raw = b''.join(protocol.send(part) or b'' for part in parts)
    connection.sock.settimeout(SEND_SECONDS)
    connection.sock.sendall(raw)
    connection.sock.setblocking(False)
    feed.answered += 1
    return prepare_reuse(protocol)
