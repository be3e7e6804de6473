"""The number of balancers, counted by control instances through a tree."""

import random
from types import SimpleNamespace

import pytest

from mustardhold.daemons.feed_publisher import FeedPublisher
from mustardhold.daemons.registry_state import known_balancers
from mustardhold.systems.fleet_count import (
    count_fleet,
    count_followers,
    newest_count,
    part_for_source,
)
from mustardhold.tables.configurations import NO_DOCUMENT
from mustardhold.tables.constants import BALANCER_COUNT_PERIOD, SETTLING_PERIOD
from mustardhold.tables.directory import Directory
from mustardhold.tables.feed import FeedSource, Watcher
from mustardhold.tables.fleet_count import FleetCount
from tools.fakes.clock import FakeClock

PERIOD = BALANCER_COUNT_PERIOD.total_seconds()


@pytest.mark.parametrize('controls', [1, 6])
@pytest.mark.parametrize('direct', [5, 82])
def test_all_balancers_are_counted_through_relays(direct, controls):
    """Guards against balancers below relays that nobody counts."""
    generator = random.Random(direct)
    watchers = [{} for _ in range(controls + 82)]
    sources = []
    for number in range(82):
        is_direct = number < direct
        known = range(controls if is_direct else controls + number)
        sources.append(generator.sample(known, min(2, len(known))))
    for _ in range(82):
        for number, followed in enumerate(sources):
            followers = count_followers(watchers[controls + number].values())
            part = part_for_source(followers, len(followed))
            for source in followed:
                watchers[source][number] = Watcher(balancers=part)
    parts = [count_followers(one.values()) for one in watchers[:controls]]
    others = [FeedSource(balancers=part) for part in parts[1:]]
    assert count_fleet(FleetCount(), 0, parts[0], others) == 82


def test_balancers_that_follow_each_other_stay_finite():
    """Guards against an overflow in a part of the tree without control."""
    part = 1.0
    for _ in range(100_000):
        part = part_for_source(part, 1)
    assert part < 20_000


def test_the_number_falls_only_after_a_while():
    """Guards against larger shares while a control instance is replaced."""
    fleet = FleetCount()
    other = FeedSource(balancers=41)
    assert count_fleet(fleet, 0, 41, [other]) == 82
    assert count_fleet(fleet, 1, 41, []) == 82
    assert count_fleet(fleet, PERIOD + 1, 60, []) == 82
    assert count_fleet(fleet, 2 * PERIOD + 1, 60.2, []) == 61
    assert count_fleet(fleet, 2 * PERIOD + 2, 90, []) == 90


def test_a_balancer_takes_the_number_of_its_newest_source():
    """Guards against a number that two relays repeat to each other."""
    control = FeedSource(confirmed_at=9, balancers=60)
    relay = FeedSource(confirmed_at=8, balancers=82)
    starting = FeedSource(confirmed_at=10)
    assert newest_count([relay, control, starting], 5) == 60
    assert newest_count([starting], 5) == 5
    assert newest_count([], 0) == 0


@pytest.mark.parametrize(
    ('heard', 'expected'),
    [((), 0), (('c2', 'c3'), 0), (('c2', 'c3', 'c4'), 40), (('c2', 'x'), 0)],
)
def test_a_minority_of_the_control_instances_knows_no_number(heard, expected):
    """Guards against two sides of a cut that each use the whole limit."""
    feed = settled_feed()
    assert known_balancers(FleetCount(), feed, client_of(*heard)) == expected


def test_the_end_of_a_cut_does_not_lower_the_number():
    """Guards against larger shares until all instances are heard again."""
    feed, fleet = settled_feed(), FleetCount()
    everyone = client_of('c2', 'c3', 'c4', 'c5', 'c6')
    assert known_balancers(fleet, feed, everyone) == 60
    for _ in range(4):
        feed.clock.seconds += PERIOD
        assert known_balancers(fleet, feed, client_of('c2')) == 0
    most = client_of('c2', 'c3', 'c4')
    assert known_balancers(fleet, feed, most) == 60


def settled_feed():
    """Return the feed of the first of six instances, which 10 follow."""
    clock = FakeClock(0)
    feed = FeedPublisher(
        'run',
        Directory(),
        lambda: NO_DOCUMENT,
        clock.monotonic,
        lambda: ('c1', 'c2', 'c3', 'c4', 'c5', 'c6'),
        clock,
        9,
    )
    feed.watchers_by_name['b-1'] = Watcher(balancers=10)
    clock.seconds += SETTLING_PERIOD.total_seconds() + 1
    return feed


def client_of(*heard):
    """Return the client of an instance that hears others, which 10 follow."""
    sources = {address: FeedSource(balancers=10) for address in heard}
    return SimpleNamespace(sources_by_address=sources)
