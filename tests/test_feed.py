"""What control tells balancers: servers at once, configurations apart."""

import functools
import logging
from http import HTTPStatus

import pytest
import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.http_app import Reply, make_app
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.feed_client import (
    DOCUMENT_PATH,
    FEED_PATH,
    DocumentSink,
    FeedClient,
    next_addresses,
    run_feed_client,
)
from mustardhold.daemons.feed_handlers import (
    FeedPublisher,
    handle_feed_poll,
    show_document,
    wait_merged,
    wake_feed,
)
from mustardhold.systems.directory import merge_report
from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from tools.processes import free_tcp_address

PATIENCE_SECONDS = 20
LARGE = VersionedDocument(7, b'route ' * 100_000)


def report(number, state=ServerState.READY, sequence=1):
    address = f'10.0.0.{number}:80'
    return ServerReport(
        f'i-{number}', 1, sequence, 'feed', address, 'dc-1', 2, state
    )


class Control:
    """A control instance's feed, whose documents a test can hold up."""

    def __init__(self, address):
        self.address = address
        self.held = NO_DOCUMENT
        self.directory = Directory()
        self.open_documents = trio.Event()
        self.asked_documents = 0
        self.feed = FeedPublisher(
            'run-1',
            self.directory,
            lambda: self.held,
            lambda: True,
            lambda: (address,),
            SystemClock(),
        )

    async def show_document(self, ask):
        """Answer once the test lets it."""
        self.asked_documents += 1
        await self.open_documents.wait()
        return await show_document(self.feed, ask)

    def change(self, one):
        """Take a report."""
        merge_report(self.directory, SystemClock().monotonic(), one)
        wake_feed(self.feed)

    def configure(self, document):
        """Put a configuration in force."""
        self.held = document
        wake_feed(self.feed)


@pytest.fixture
async def control(nursery):
    one = Control(free_tcp_address())

    async def show(ask):
        # A test may put another method in place.
        return await one.show_document(ask)

    app = make_app(
        {
            ('POST', FEED_PATH): functools.partial(handle_feed_poll, one.feed),
            ('GET', DOCUMENT_PATH): show,
        }
    )
    nursery.start_soon(serve_http, app, one.address, trio.Event())
    return one


def make_watch(known_addresses, documents=None):
    """Watch two control instances at a time, and tell nobody."""
    return FeedClient(
        'b1',
        '',
        Directory(),
        SystemClock(),
        logging.getLogger('feed'),
        2,
        known_addresses,
        documents,
        lambda _: None,
        lambda _: None,
    )


@pytest.fixture
async def watch(nursery, control):
    taken = []
    sink = DocumentSink(lambda: taken[-1].version if taken else 0, taken.append)
    one = make_watch({control.address}, sink)
    nursery.start_soon(run_feed_client, one)
    return one, taken


async def until(is_so):
    with trio.fail_after(PATIENCE_SECONDS):
        while not is_so():
            await trio.sleep(0.01)


@pytest.mark.parametrize(
    ('watched', 'reached', 'tried'),
    [
        ('', '', 'abcd'),
        # Some may be without power: others are tried meanwhile.
        ('ab', '', 'cd'),
        ('abc', 'c', 'd'),
        ('ab', 'ab', ''),
    ],
)
def test_more_are_tried_while_fewer_answer_than_wanted(watched, reached, tried):
    one = make_watch(set('abcd'))
    one.watched.update(watched)
    one.reached.update(reached)
    assert set(next_addresses(one)) == set(tried)


async def test_a_slow_configuration_holds_up_no_server(control, watch):
    one, taken = watch
    control.configure(LARGE)
    await until(lambda: control.asked_documents)
    for sequence, state in enumerate(
        (ServerState.READY, ServerState.DRAINING), start=1
    ):
        control.change(report(1, state, sequence))
    await until(
        lambda: (
            'i-1' in one.directory.servers_by_id
            and one.directory.servers_by_id['i-1'].report.state
            is ServerState.DRAINING
        )
    )
    assert not taken
    control.open_documents.set()
    await until(lambda: taken)
    assert taken == [LARGE]
    assert control.asked_documents == 1


async def test_a_refused_configuration_is_asked_for_again(control, watch):
    _, taken = watch
    show = control.show_document
    failures = [HTTPStatus.SERVICE_UNAVAILABLE] * 2

    async def fail_first(ask):
        if failures:
            return Reply(failures.pop(), b'')
        return await show(ask)

    control.show_document = fail_first
    control.open_documents.set()
    control.configure(LARGE)
    await until(lambda: taken)
    assert taken == [LARGE]


async def test_merged_is_what_the_next_poll_says(control, watch):
    control.change(report(1))
    with trio.fail_after(PATIENCE_SECONDS):
        revision = control.directory.urgent_revision
        await wait_merged(control.feed, revision, frozenset({'b1'}), 1)
    with trio.move_on_after(0.1) as scope:
        await wait_merged(control.feed, revision, frozenset({'b2'}), 1)
    assert scope.cancelled_caught
