"""Tests that the feed delivers server changes without delay.

Configurations are fetched separately, because a large one takes long.
"""

import functools
import itertools
import logging
import zlib
from collections import Counter
from http import HTTPStatus

import msgspec
import pytest
import trio
import trio.lowlevel

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.content_encoding import DEFLATE, deflate
from mustardhold.adapters.http_app import HandlerRequest, Reply, make_app
from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    send_request,
)
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.feed_client import (
    next_addresses,
    release_source,
    run_feed_client,
)
from mustardhold.daemons.feed_handlers import (
    handle_feed_poll,
    show_document,
    wait_merged,
)
from mustardhold.daemons.feed_polls import learn_controls
from mustardhold.daemons.feed_publisher import FeedPublisher, wake_watchers
from mustardhold.daemons.feed_state import (
    DocumentSink,
    FeedClient,
    WatcherIdentity,
)
from mustardhold.systems.directory import merge_report
from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.constants import (
    FEED_WATCHERS_PER_CONTROL,
    GROUP_AWAY_PERIOD,
    SNAPSHOT_LIFETIME,
)
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from mustardhold.tables.feed import (
    DOCUMENT_PATH,
    FEED_PATH,
    NEVER_CONFIRMED,
    FeedReply,
    FeedRequest,
    FeedSource,
)
from mustardhold.tables.outcomes import Err
from tools.processes import free_tcp_address

TIMEOUT_SECONDS = 20
LARGE = VersionedDocument(7, b'route ' * 100_000)


def report(number, state=ServerState.READY, sequence=1):
    address = f'10.0.0.{number}:80'
    return ServerReport(
        f'i-{number}', 1, sequence, 'feed', address, 'dc-1', 2, state
    )


class Control:
    """A control instance's feed whose document responses a test can delay."""

    def __init__(self, address):
        self.address = address
        self.configuration = NO_DOCUMENT
        self.directory = Directory()
        self.documents_released = trio.Event()
        self.document_requests = 0
        self.feed = FeedPublisher(
            'run-1',
            self.directory,
            lambda: self.configuration,
            SystemClock().monotonic,
            lambda: (address,),
            SystemClock(),
            FEED_WATCHERS_PER_CONTROL,
        )

    async def show_document(self, request):
        """Respond once the test allows it."""
        self.document_requests += 1
        await self.documents_released.wait()
        return await show_document(self.feed, request)

    def change(self, changed_report):
        """Merge a report and wake the watchers."""
        merge_report(self.directory, SystemClock().monotonic(), changed_report)
        wake_watchers(self.feed)

    def configure(self, document):
        """Install a configuration and wake the watchers."""
        self.configuration = document
        wake_watchers(self.feed)


@pytest.fixture
async def control(nursery):
    made = Control(free_tcp_address())

    async def show(request):
        # Looked up per request, because a test may replace the method.
        return await made.show_document(request)

    app = make_app(
        {
            ('POST', FEED_PATH): functools.partial(handle_feed_poll, made.feed),
            ('GET', DOCUMENT_PATH): show,
        }
    )
    nursery.start_soon(serve_http, app, made.address, trio.Event())
    return made


def make_client(known_addresses, documents=None):
    """Make a client that polls two control instances and ignores callbacks."""
    return FeedClient(
        WatcherIdentity('b1', 'dc-1', ''),
        Directory(),
        SystemClock(),
        logging.getLogger('feed'),
        Counter(),
        2,
        known_addresses,
        documents,
        lambda _: None,
        lambda _: None,
    )


@pytest.fixture
async def feed_client(nursery, control):
    installed = []
    sink = DocumentSink(
        lambda: installed[-1].version if installed else 0,
        installed.append,
        lambda: NEVER_CONFIRMED,
    )
    client = make_client({control.address}, sink)
    nursery.start_soon(run_feed_client, client)
    return client, installed


async def wait_until(is_met):
    with trio.fail_after(TIMEOUT_SECONDS):
        while not is_met():
            await trio.sleep(0.01)


@pytest.mark.parametrize(
    ('polled', 'reached', 'expected'),
    [
        ('', '', 'abcd'),
        # Some may be without power, so others are tried in parallel.
        ('ab', '', 'cd'),
        ('abc', 'c', 'd'),
        ('ab', 'ab', ''),
    ],
)
def test_more_addresses_are_polled_until_enough_reply(
    polled, reached, expected
):
    client = make_client(set('abcd'))
    client.polled.update(polled)
    client.sources_by_address.update(
        {address: FeedSource() for address in reached}
    )
    assert set(next_addresses(client)) == set(expected)


GONE = {f'gone-{number}' for number in range(100)}


def test_control_instances_that_left_the_group_are_not_tried_first():
    """Guards against minutes of tries of instances that were replaced."""
    client = make_client(set(GONE), DocumentSink(lambda: 1, print, lambda: 0))
    source = FeedSource()
    client.sources_by_address['a'] = source
    for controls in (('gone-1', 'a', 'b'), ('a', 'b', 'c')):
        learn_controls(client, source, controls)
    assert client.current_controls == {'a', 'b', 'c'}
    for address in ('a', 'b'):
        release_source(client, address, 'failed')
    assert set(next_addresses(client)) == {'c'}
    now = client.clock.monotonic()
    client.failed_at.update(dict.fromkeys('abc', now - 2))
    assert set(next_addresses(client)) < {'a', 'b', 'c'}
    # After a long time without any of them, all that are known are asked.
    client.source_lost_at = now - 2 * GROUP_AWAY_PERIOD.total_seconds()
    client.polled.update('abc')
    client.polled.discard('b')
    client.limit = 5
    assert set(next_addresses(client)) - GONE == {'b'}
    assert set(next_addresses(client)) & GONE


async def test_slow_configuration_does_not_delay_server_changes(
    control, feed_client
):
    client, installed = feed_client
    control.configure(LARGE)
    await wait_until(lambda: control.document_requests)
    for sequence, state in enumerate(
        (ServerState.READY, ServerState.DRAINING), start=1
    ):
        control.change(report(1, state, sequence))
    await wait_until(
        lambda: (
            'i-1' in client.directory.servers_by_id
            and client.directory.servers_by_id['i-1'].report.state
            is ServerState.DRAINING
        )
    )
    assert not installed
    control.documents_released.set()
    await wait_until(lambda: installed)
    assert installed == [LARGE]
    assert control.document_requests == 1


async def test_refused_configuration_request_is_retried(control, feed_client):
    _, installed = feed_client
    show = control.show_document
    failures = [HTTPStatus.SERVICE_UNAVAILABLE] * 2

    async def fail_first(request):
        if failures:
            return Reply(failures.pop(), b'')
        return await show(request)

    control.show_document = fail_first
    control.documents_released.set()
    control.configure(LARGE)
    await wait_until(lambda: installed)
    assert installed == [LARGE]


async def test_revision_counts_as_merged_after_the_next_poll(
    control, feed_client
):
    control.change(report(1))
    with trio.fail_after(TIMEOUT_SECONDS):
        revision = control.directory.revision
        await wait_merged(control.feed, revision, frozenset({'b1'}), 1)
    with trio.move_on_after(0.1) as scope:
        await wait_merged(control.feed, revision, frozenset({'b2'}), 1)
    assert scope.cancelled_caught


async def test_continuous_changes_are_sent_together(control, feed_client):
    client, _ = feed_client
    control.change(report(1))
    await wait_until(lambda: 'i-1' in client.directory.servers_by_id)
    replies = []
    client.on_reply = replies.append
    states = (ServerState.DRAINING, ServerState.READY)
    with trio.move_on_after(1):
        for sequence in itertools.count(2):
            control.change(report(1, states[sequence % 2], sequence))
            await trio.lowlevel.checkpoint()
    # A second of changes, at one reply for each 50 ms at most.
    assert len(replies) <= 25


async def test_snapshot_of_a_large_fleet_is_small_and_made_once(control):
    for number in range(1_000):
        control.change(
            msgspec.structs.replace(
                report(1),
                server_id=f'i-{number:08x}',
                address=f'10.{number // 250}.0.{number % 250}:80',
            )
        )
    replies = []
    for name in ('b1', 'b2'):
        query = FeedRequest(name)
        request = HandlerRequest({}, msgspec.json.encode(query))
        replies.append(await handle_feed_poll(control.feed, request))
    assert replies[0] is replies[1]
    raw = zlib.decompress(replies[0].body)
    assert len(replies[0].body) < len(raw) / 4
    decoded = msgspec.json.decode(raw, type=FeedReply)
    assert len(decoded.rows) == 1_000
    # It may be sent again for a while, so it is dated back by that time.
    assert decoded.held_ms == -SNAPSHOT_LIFETIME.total_seconds() * 1_000


async def test_snapshot_is_made_anew_after_a_change(control):
    request = HandlerRequest({}, msgspec.json.encode(FeedRequest('b1')))
    control.change(report(1))
    before = await handle_feed_poll(control.feed, request)
    control.change(report(1, ServerState.DRAINING, 2))
    after = await handle_feed_poll(control.feed, request)
    states = [
        msgspec.json.decode(reply.body, type=FeedReply).rows[0].report.state
        for reply in (before, after)
    ]
    assert states == [ServerState.READY, ServerState.DRAINING]


@pytest.mark.parametrize(
    'body',
    [deflate(b'x' * 9_000)[:-9], b'not compressed', b'', deflate(bytes(2**27))],
    ids=['truncated', 'plain', 'empty', 'too-large'],
)
async def test_body_that_cannot_be_inflated_is_an_error(nursery, body):
    async def reply(_):
        await trio.lowlevel.checkpoint()
        return Reply(HTTPStatus.OK, body, encoding=DEFLATE)

    address = free_tcp_address()
    app = make_app({('GET', '/any'): reply})
    nursery.start_soon(serve_http, app, address, trio.Event())
    request = HttpRequest('GET', address, '/any')
    response = await send_request(HttpClient(), request, TIMEOUT_SECONDS)
    assert isinstance(response, Err)
