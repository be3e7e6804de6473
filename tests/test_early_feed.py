"""The first stage of control: polls answered from disk, then handed over."""

import concurrent.futures
import functools
import importlib
import logging
import random
import subprocess
import sys
import threading
import time
from collections import Counter
from contextlib import contextmanager, suppress
from pathlib import Path

import httpx
import msgspec
import pytest
import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.directory_store import DirectoryStore, save_changes
from mustardhold.adapters.disk import FolderDisk
from mustardhold.adapters.document_store import (
    load_document,
    save_document,
    save_evacuations,
)
from mustardhold.adapters.http_app import make_app
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.early_feed import start_early_feed, stop_early_feed
from mustardhold.daemons.feed_client import run_feed_client
from mustardhold.daemons.feed_handlers import handle_feed_poll, show_document
from mustardhold.daemons.feed_publisher import FeedPublisher
from mustardhold.daemons.feed_state import (
    DocumentSink,
    FeedClient,
    WatcherIdentity,
)
from mustardhold.systems.directory import final_report, merge_report
from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.feed import (
    DOCUMENT_PATH,
    FEED_PATH,
    NEVER_CONFIRMED,
    FeedReply,
    FeedRequest,
)
from tools.fakes.disks import CrashError, FakeDisk, crash
from tools.processes import free_tcp_address

TIMEOUT_SECONDS = 10
# More than the buffers of both sockets hold.
LARGE_DOCUMENT_BYTES = 16_000_000
DOCUMENT = VersionedDocument(4, b'packed' * 20_000)
EVACUATIONS = EvacuationState(3, ())
ALIVE = ServerReport(
    'i-a1', 100, 1, 'feed', '10.0.0.1:80', 'dc-1', 2, ServerState.READY
)
GONE = final_report(
    msgspec.structs.replace(ALIVE, server_id='i-b2', address='10.0.0.2:80')
)
# What the first stage may not load: it would take longer than all else.
SLOW_MODULES = {'trio', 'logging', 'httpx', 'aioprometheus', 'pythonjsonlogger'}


@pytest.fixture
def folder(tmp_path):
    """Return a data directory with a configuration and two servers."""
    disk = FolderDisk(tmp_path, -1)
    save_document(disk, DOCUMENT)
    save_evacuations(disk, EVACUATIONS)
    store = DirectoryStore(disk)
    save_changes(store, (), (ALIVE,))
    save_changes(store, (GONE,), ())
    return str(tmp_path)


@pytest.fixture
def early_feed(folder):
    address = free_tcp_address()
    feed = start_early_feed(address, folder)
    assert feed is not None
    with pumping(feed):
        yield feed, address
    if feed in sys.meta_path:
        stop_early_feed(feed).close()


@contextmanager
def pumping(feed):
    """Look for polls again and again in a thread, as imports would."""
    ended = threading.Event()

    def pump():
        while not ended.wait(0.01) and feed in sys.meta_path:
            feed.find_spec('any')

    thread = threading.Thread(target=pump)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


def poll(address, request=None, client=httpx):
    body = msgspec.json.encode(request or FeedRequest('b1'))
    response = client.post(
        f'http://{address}{FEED_PATH}', content=body, timeout=TIMEOUT_SECONDS
    )
    return msgspec.json.decode(response.content, type=FeedReply)


def test_first_poll_is_answered_from_disk(early_feed):
    _, address = early_feed
    with httpx.Client() as client:
        reply = poll(address, client=client)
        document = client.get(f'http://{address}{DOCUMENT_PATH}').content
    assert {row.report for row in reply.rows} == {ALIVE, GONE}
    assert [row.is_unconfirmed for row in reply.rows] == [True, False]
    assert (reply.version, reply.confirmed_ms) == (DOCUMENT.version, None)
    assert reply.evacuations == EVACUATIONS
    assert msgspec.msgpack.decode(document, type=VersionedDocument) == DOCUMENT


def test_document_larger_than_the_socket_buffer_is_sent_whole(folder):
    """Guards against a response cut off when the socket's buffer is full."""
    large = VersionedDocument(5, bytes(LARGE_DOCUMENT_BYTES))
    save_document(FolderDisk(Path(folder), -1), large)
    address = free_tcp_address()
    feed = start_early_feed(address, folder)
    assert feed is not None
    try:
        with pumping(feed):
            response = httpx.get(
                f'http://{address}{DOCUMENT_PATH}', timeout=TIMEOUT_SECONDS
            )
        body = response.content
        assert msgspec.msgpack.decode(body, type=VersionedDocument) == large
    finally:
        stop_early_feed(feed).close()


def test_second_poll_waits_until_the_hand_over(early_feed):
    feed, address = early_feed
    request = FeedRequest('b1', poll(address).position)
    with httpx.Client() as client, pytest.raises(httpx.ReadTimeout):
        client.post(
            f'http://{address}{FEED_PATH}',
            content=msgspec.json.encode(request),
            timeout=0.3,
        )
    assert feed.answered == 1


@pytest.mark.parametrize(
    'raw',
    [
        b'nonsense\r\n\r\n',
        b'GET /configuration HTTP/1.1\r\nhost: x\r\n\r\n',
        b'POST /feed HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{',
        bytes(300),
    ],
    ids=['no-http', 'another-page', 'cut-off', 'binary'],
)
async def test_malformed_request_does_not_stop_the_others(early_feed, raw):
    _, address = early_feed
    host, port = address.split(':')
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(raw)
    await stream.send_eof()
    with trio.fail_after(TIMEOUT_SECONDS):
        assert await stream.receive_some() == b''
    reply = await trio.to_thread.run_sync(poll, address)
    assert len(reply.rows) == 2


@pytest.mark.parametrize('missing', ['configuration', 'servers'])
def test_nothing_is_served_without_a_whole_state(folder, missing):
    for path in Path(folder).glob(f'{missing}*'):
        path.unlink()
    assert start_early_feed(free_tcp_address(), folder) is None


def test_address_in_use_is_left_to_the_full_server(early_feed, folder):
    assert start_early_feed(early_feed[1], folder) is None


async def test_watcher_follows_from_the_first_stage_to_the_full_server(
    early_feed, nursery
):
    feed, address = early_feed
    installed = [NO_DOCUMENT]
    confirmed = []
    client = FeedClient(
        WatcherIdentity('b1', 'dc-1', ''),
        Directory(),
        SystemClock(),
        logging.getLogger('early'),
        Counter(),
        2,
        {address},
        DocumentSink(
            lambda: installed[-1].version,
            installed.append,
            lambda: NEVER_CONFIRMED,
        ),
        lambda _: None,
        lambda received: confirmed.append(received.confirmed_at),
    )
    nursery.start_soon(run_feed_client, client)
    with trio.fail_after(TIMEOUT_SECONDS):
        while installed[-1] != DOCUMENT:
            await trio.sleep(0.01)
    assert set(confirmed) == {NEVER_CONFIRMED}
    listener = stop_early_feed(feed)
    directory = Directory()
    merge_report(directory, SystemClock().monotonic(), ALIVE)
    publisher = FeedPublisher(
        'run-2',
        directory,
        lambda: DOCUMENT,
        SystemClock().monotonic,
        lambda: (address,),
        SystemClock(),
        9,
    )
    app = make_app(
        {
            ('POST', FEED_PATH): functools.partial(handle_feed_poll, publisher),
            ('GET', DOCUMENT_PATH): functools.partial(show_document, publisher),
        }
    )
    nursery.start_soon(serve_http, app, address, trio.Event(), listener)
    with trio.fail_after(TIMEOUT_SECONDS):
        while confirmed[-1] == NEVER_CONFIRMED:
            await trio.sleep(0.01)


@pytest.mark.parametrize('disk_seed', range(10))
def test_copy_of_the_configuration_is_whole_or_absent_after_a_crash(disk_seed):
    disk = FakeDisk(random.Random(disk_seed))
    older = VersionedDocument(3, b'older')
    save_document(disk, older)
    disk.operations_until_crash = disk_seed % 4
    with suppress(CrashError):
        save_document(disk, DOCUMENT)
    crash(disk)
    assert load_document(disk) in {older, DOCUMENT}


def test_polls_are_answered_while_modules_are_imported(folder):
    address = free_tcp_address()
    feed = start_early_feed(address, folder)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        answer = executor.submit(poll, address)
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not answer.done() and time.monotonic() < deadline:
            with suppress(ModuleNotFoundError):
                importlib.import_module('no_such_module')
        assert len(answer.result().rows) == 2
    stop_early_feed(feed).close()
    assert feed not in sys.meta_path


def test_first_stage_loads_no_slow_module():
    code = (
        'import sys; import mustardhold.platform.early_control;'
        "print(*{name.split('.')[0] for name in sys.modules})"
    )
    loaded = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    assert not SLOW_MODULES.intersection(loaded)
