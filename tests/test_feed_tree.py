"""The tree of the feed: who follows whom, and what happens if one is lost."""

import functools
import logging
from collections import Counter
from http import HTTPStatus

import msgspec
import pytest
import trio
import trio.lowlevel

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.http_app import Reply, make_app
from mustardhold.adapters.http_server import serve_http
from mustardhold.daemons.feed_client import run_feed_client
from mustardhold.daemons.feed_handlers import handle_feed_poll, show_document
from mustardhold.daemons.feed_publisher import (
    FeedPublisher,
    make_run_id,
    wake_if_changed,
    wake_watchers,
)
from mustardhold.daemons.feed_state import (
    DocumentSink,
    FeedClient,
    WatcherIdentity,
)
from mustardhold.systems.directory import merge_report
from mustardhold.systems.feed_tree import (
    admit_watcher,
    coalescing_pause,
    retry_pause,
)
from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.constants import (
    FEED_COALESCING,
    FEED_FIRST_RETRY,
    FEED_MAX_RETRY,
    FEED_WATCHERS_PER_BALANCER,
    FEED_WATCHERS_PER_CONTROL,
    WATCHER_LIFETIME,
)
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from mustardhold.tables.feed import (
    DOCUMENT_PATH,
    FEED_PATH,
    NEVER_CONFIRMED,
    FeedRequest,
)
from tools.processes import free_tcp_address

TIMEOUT_SECONDS = 20
SOURCES = 2


def query(number, data_centre='dc-1', **changes):
    base = FeedRequest(
        f'b{number}',
        address=f'10.0.0.{number}:7',
        data_centre=data_centre,
        confirmed_ms=100,
    )
    return msgspec.structs.replace(base, **changes)


def test_watchers_beyond_the_limit_are_sent_to_relays_of_their_data_centre():
    watchers = {}
    for number in range(4):
        data_centre = f'dc-{number % 2}'
        assert not admit_watcher(watchers, 0.0, query(number, data_centre), 4)
    relays = admit_watcher(watchers, 0.0, query(9, 'dc-1'), 4)
    assert set(relays[:2]) == {'10.0.0.1:7', '10.0.0.3:7'}
    assert 'b9' not in watchers


def test_admitted_watcher_stays_and_one_that_is_gone_frees_its_place():
    watchers = {}
    for number in (1, 2):
        admit_watcher(watchers, 0.0, query(number), 2)
    later = WATCHER_LIFETIME.total_seconds() + 0.1
    assert not admit_watcher(watchers, later - 1, query(1), 2)
    assert not admit_watcher(watchers, later, query(3), 2)
    assert set(watchers) == {'b1', 'b3'}


def test_control_instances_are_admitted_and_not_counted():
    watchers = {}
    for number in range(9):
        peer = query(number, is_control=True, address='')
        assert not admit_watcher(watchers, 0.0, peer, 2)
    assert not admit_watcher(watchers, 0.0, query(20), 2)


@pytest.mark.parametrize(
    'changes',
    [{'address': ''}, {'confirmed_ms': None}, {'confirmed_ms': 60_000}],
    ids=['no-relay', 'never-fed', 'cut-off'],
)
def test_without_relays_a_watcher_is_admitted(changes):
    watchers = {}
    for number in range(3):
        assert not admit_watcher(watchers, 0.0, query(number, **changes), 2)


def test_relay_that_failed_a_watcher_is_not_named_to_it_again():
    watchers = {}
    for number in (1, 2):
        admit_watcher(watchers, 0.0, query(number), 2)
    failed = ('10.0.0.1:7',)
    relays = admit_watcher(watchers, 0.0, query(9, failed_relays=failed), 2)
    assert relays == ('10.0.0.2:7',)
    both = (*failed, *relays)
    assert not admit_watcher(watchers, 0.0, query(9, failed_relays=both), 2)


def test_watchers_of_a_starting_fleet_are_sent_on_once_there_are_relays():
    watchers = {}
    for number in range(5):
        unfed = query(number, confirmed_ms=None)
        assert not admit_watcher(watchers, 0.0, unfed, 2)
    for number in range(5):
        relays = admit_watcher(watchers, 0.5, query(number), 2)
        assert bool(relays) is (number >= 2)
    assert set(watchers) == {'b0', 'b1'}


class SimulatedFleet:
    """A fleet whose balancers find their sources by admission alone."""

    def __init__(self, controls, balancers):
        self.controls = [f'control-{number}' for number in range(controls)]
        self.watchers = {name: {} for name in self.controls}
        self.limits = dict.fromkeys(self.controls, FEED_WATCHERS_PER_CONTROL)
        self.depths = []
        for number in range(balancers):
            self.join(number)

    def join(self, number):
        """Let a balancer descend until a process admits it."""
        name = f'b{number}'
        identity = FeedRequest(
            name,
            address=name,
            data_centre=f'dc-{number % 24}',
            confirmed_ms=0,
        )
        source = self.controls[number % len(self.controls)]
        depth = 1
        while relays := admit_watcher(
            self.watchers[source], 0.0, identity, self.limits[source]
        ):
            source = relays[0]
            depth += 1
        self.depths.append(depth)
        self.watchers[name] = {}
        self.limits[name] = FEED_WATCHERS_PER_BALANCER


@pytest.mark.parametrize(
    ('controls', 'balancers', 'depth'), [(5, 80, 1), (5, 300, 3), (24, 4000, 4)]
)
def test_no_process_has_more_watchers_than_its_limit(
    controls, balancers, depth
):
    fleet = SimulatedFleet(controls, balancers)
    assert max(fleet.depths) <= depth
    for name, watchers in fleet.watchers.items():
        assert len(watchers) <= fleet.limits[name]


@pytest.mark.parametrize('outage', [0.0, 0.3, 3.0, 600.0])
def test_pause_before_a_retry_grows_with_the_outage(outage):
    first = FEED_FIRST_RETRY.total_seconds()
    pauses = [retry_pause(outage, first, f'b{number}') for number in range(200)]
    assert max(pauses) <= max(1.5 * first, outage / 7)
    assert max(pauses) <= 1.25 * FEED_MAX_RETRY.total_seconds()
    # The jitter spreads a fleet that began to wait at the same moment.
    assert max(pauses) > 1.5 * min(pauses)


def test_replies_a_second_are_bounded_however_many_watch():
    for watchers in (1, 32, 100, 300, 3_000):
        replies = watchers / coalescing_pause(query(1), watchers)
        assert replies <= max(500, watchers / 0.4)
    assert coalescing_pause(query(1), 1) == FEED_COALESCING.total_seconds()


def report(number, state=ServerState.READY, sequence=1):
    return ServerReport(
        f'i-{number}',
        1,
        sequence,
        'feed',
        f'10.0.0.{number}:80',
        'dc-1',
        2,
        state,
    )


class Node:
    """A control instance, or a balancer that follows others."""

    def __init__(self, name, limit, known=()):
        self.name = name
        self.address = free_tcp_address()
        self.clock = SystemClock()
        self.directory = Directory()
        self.document = NO_DOCUMENT
        self.confirmed_at = NEVER_CONFIRMED
        self.versions = []
        self.is_control = not known
        self.is_frozen = False
        self.is_older = False
        self.scope = trio.CancelScope()
        self.feed = FeedPublisher(
            make_run_id(),
            self.directory,
            lambda: self.document,
            self.state_confirmed_at,
            lambda: tuple(known) or (self.address,),
            self.clock,
            limit,
        )
        self.client = FeedClient(
            WatcherIdentity(name, 'dc-1', self.address, serves_feed=True),
            self.directory,
            self.clock,
            logging.getLogger(name),
            Counter(),
            SOURCES,
            set(known),
            DocumentSink(
                lambda: self.document.version,
                self.install,
                lambda: self.confirmed_at,
            ),
            lambda _: None,
            self.handle_reply,
        )

    def state_confirmed_at(self):
        """Return when the state of this node was up to date."""
        return self.clock.monotonic() if self.is_control else self.confirmed_at

    def install(self, document):
        """Install a newer configuration."""
        if document.version > self.document.version and not self.is_older:
            self.document = document
            self.versions.append(document.version)
            wake_watchers(self.feed)

    def handle_reply(self, received):
        """Record the age of the state, as a balancer does."""
        if received.reply.version <= self.document.version:
            self.confirmed_at = max(self.confirmed_at, received.confirmed_at)
        wake_if_changed(self.feed)

    async def poll(self, request):
        """Answer a poll, or never if frozen."""
        while self.is_frozen:
            await trio.sleep(0.05)
        return await handle_feed_poll(self.feed, request)

    async def run(self):
        """Serve the feed, and follow others unless this is a control."""
        app = make_app(
            {
                ('POST', FEED_PATH): self.poll,
                ('GET', DOCUMENT_PATH): functools.partial(
                    show_document, self.feed
                ),
            }
        )
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, app, self.address, trio.Event())
                if not self.is_control:
                    nursery.start_soon(run_feed_client, self.client)

    def change(self, changed_report):
        """Merge a server's report."""
        merge_report(self.directory, self.clock.monotonic(), changed_report)
        wake_if_changed(self.feed)

    def age(self):
        """Return the age of this node's state in seconds."""
        return self.clock.monotonic() - self.confirmed_at


async def wait_until(is_met):
    with trio.fail_after(TIMEOUT_SECONDS):
        while not is_met():
            await trio.sleep(0.01)


@pytest.fixture
async def tree(nursery):
    """Two control instances with one place each, and five balancers."""
    controls = [Node(f'control-{number}', 1) for number in range(2)]
    addresses = tuple(control.address for control in controls)
    balancers = [Node(f'b{number}', 3, addresses) for number in range(5)]
    controls[0].change(report(1))
    controls[1].change(report(1))
    for node in controls:
        node.document = VersionedDocument(1, b'1')
        nursery.start_soon(node.run)
    for node in balancers:
        nursery.start_soon(node.run)
    await wait_until(
        lambda: all(node.document.version == 1 for node in balancers)
    )
    return controls, balancers


def configure(controls, version):
    for control in controls:
        control.document = VersionedDocument(version, b'x' * version)
        wake_watchers(control.feed)


def find_relay(balancers):
    """Return the balancer that most others follow."""
    return max(balancers, key=lambda node: len(node.feed.watchers_by_name))


async def test_changes_reach_all_balancers_through_relays(tree):
    controls, balancers = tree
    # While the fleet starts, control instances admit more than their limit.
    await wait_until(
        lambda: all(
            len(control.feed.watchers_by_name) <= 1 for control in controls
        )
    )
    for control in controls:
        control.change(report(1, ServerState.DRAINING, 2))
    await wait_until(
        lambda: all(
            node.directory.servers_by_id['i-1'].report.state
            is ServerState.DRAINING
            for node in balancers
        )
    )


@pytest.mark.parametrize('fault', ['killed', 'frozen', 'older'])
async def test_storm_reaches_all_balancers_while_a_relay_fails(tree, fault):
    controls, balancers = tree
    await wait_until(
        lambda: any(node.feed.watchers_by_name for node in balancers)
    )
    relay = find_relay(balancers)
    for version in range(2, 12):
        configure(controls, version)
        await trio.sleep(0.05)
        if version == 5 and fault == 'killed':
            relay.scope.cancel()
        relay.is_frozen = fault == 'frozen' and version >= 5
        relay.is_older = fault == 'older' and version >= 5
    others = [node for node in balancers if node is not relay]
    await wait_until(
        lambda: all(node.document.version == 11 for node in others)
    )
    await wait_until(lambda: all(node.age() < 1.5 for node in others))
    for node in others:
        assert node.versions == sorted(node.versions)


async def test_state_grows_old_while_all_control_is_away(tree):
    controls, balancers = tree
    await wait_until(lambda: all(node.age() < 1.5 for node in balancers))
    for control in controls:
        control.scope.cancel()
    # Relays follow each other, but none makes the state look newer.
    await trio.sleep(3)
    assert min(node.age() for node in balancers) > 2
    assert all(node.document.version == 1 for node in balancers)


async def test_balancers_before_the_first_configuration_follow_few_sources(
    nursery,
):
    controls = [Node(f'control-{number}', 9) for number in range(5)]
    for node in controls:
        nursery.start_soon(node.run)
    addresses = tuple(control.address for control in controls)
    balancer = Node('b1', 9, addresses)
    nursery.start_soon(balancer.run)
    await wait_until(lambda: len(balancer.client.sources_by_address) > SOURCES)
    await trio.sleep(1)
    assert len(balancer.client.polled) == SOURCES + 1
    # With a configuration it needs no more than its two sources.
    configure(controls, 1)
    await wait_until(lambda: len(balancer.client.polled) == SOURCES)


@pytest.mark.parametrize(
    'body',
    [b'', b'{"position":["run-9",1', b'{"rows":[]}', b'\xff\x00'],
    ids=['empty', 'truncated', 'incomplete', 'binary'],
)
async def test_malformed_reply_is_counted_and_another_source_is_followed(
    nursery, body
):
    faulty, sound = Node('faulty', 9), Node('sound', 9)

    async def reply_malformed(_):
        await trio.lowlevel.checkpoint()
        return Reply(HTTPStatus.OK, body)

    faulty.poll = reply_malformed
    sound.change(report(1))
    sound.document = VersionedDocument(1, b'1')
    balancer = Node('b1', 9, (faulty.address, sound.address))
    for node in (faulty, sound, balancer):
        nursery.start_soon(node.run)
    await wait_until(lambda: balancer.document.version == 1)
    await wait_until(lambda: balancer.client.counters['feed', 'malformed'])
    assert list(balancer.client.sources_by_address) == [sound.address]
    assert set(balancer.directory.servers_by_id) == {'i-1'}
