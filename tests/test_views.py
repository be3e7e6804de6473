"""The group agrees on a coordinator, on views and on leases."""

import math

import pytest

from mustardhold.systems.coordination import (
    GRANT_SECONDS,
    LEASE_SECONDS,
    handle_claim,
    is_coordinating,
    make_member_tables,
)
from mustardhold.systems.leases import handle_lease
from mustardhold.systems.leaving import has_left
from mustardhold.systems.ownership import is_lease_live, raise_fence
from mustardhold.systems.readiness import is_ready
from mustardhold.systems.views import install_view
from mustardhold.tables.peers import Claim, Lease
from mustardhold.tables.views import Member, View, ViewMember
from tools.fakes import fleet as fakes
from tools.fakes.event_queue import run_until
from tools.fakes.servers import make_servers

NAMES = ('b1', 'b2', 'b3', 'b4', 'b5')
GROUP = tuple(Member(name, 'dc', '127.0.0.1:1') for name in NAMES)
ELECTED_BY = 2.0


def make_voter(name='b3', now=0.0, incarnation=1):
    return make_member_tables(name, now, incarnation, GROUP)


def make_claim(name, now, epoch=0, members=(), incarnation=1):
    return Claim('', name, incarnation, now, epoch, members, False, 0)


def is_granted(voter, now, claim):
    outbox = []
    handle_claim(voter, now, claim, outbox)
    return bool(outbox)


def make_group(seed=1):
    fleet = fakes.make_fleet(
        seed, fakes.PRODUCT, NAMES, make_servers('werkstatt', 3)
    )
    run_until(fleet.queue, ELECTED_BY)
    return fleet


def coordinators(fleet):
    now = fleet.queue.now
    return [
        name
        for name, tables in fleet.balancers_by_id.items()
        if is_coordinating(tables.membership.lease_groups[0], now)
    ]


def views(fleet):
    return {
        (tables.view.epoch, tuple(tables.view.members_by_id))
        for tables in fleet.balancers_by_id.values()
    }


def test_a_voter_grants_one_candidate_at_a_time():
    voter = make_voter()
    now = GRANT_SECONDS
    assert is_granted(voter, now, make_claim('b1', now))
    assert not is_granted(voter, now + 1, make_claim('b2', now + 1))
    assert is_granted(voter, now + 1.5, make_claim('b1', now + 1.5))
    assert not is_granted(voter, now + 3, make_claim('b2', now + 3))
    assert is_granted(voter, now + 4, make_claim('b2', now + 4))


def test_a_restarted_voter_waits_until_earlier_grants_expire():
    voter = make_voter(now=100)
    just_before = 100 + GRANT_SECONDS - 0.01
    assert not is_granted(voter, just_before, make_claim('b1', just_before))
    assert is_granted(voter, 102.1, make_claim('b1', 102.1))


def test_a_lease_runs_from_the_members_own_request():
    tables = make_voter()
    members = (ViewMember('b1', 1), ViewMember('b3', 1))
    handle_lease(tables, 31, Lease('', 1, 1, 5, members))
    assert tables.view.epoch == 5
    assert not is_lease_live(tables, 31)
    handle_lease(tables, 32, Lease('', 1, 31.9, 5))
    assert is_lease_live(tables, 32)
    assert not is_lease_live(tables, 31.9 + LEASE_SECONDS)


def test_a_lease_for_an_earlier_start_is_ignored():
    tables = make_voter(incarnation=2)
    handle_lease(tables, 1, Lease('', 1, 1, 5, (ViewMember('b3', 1),)))
    assert tables.lease_until == -math.inf


def test_a_message_of_a_newer_view_fences_the_older_one():
    tables = make_voter()
    members = (ViewMember('b3', 1),)
    handle_lease(tables, 1, Lease('', 1, 1, 5, members))
    assert is_lease_live(tables, 1.1)
    raise_fence(tables, 6)
    assert not is_lease_live(tables, 1.1)
    handle_lease(tables, 1.2, Lease('', 1, 1.1, 6, members))
    assert is_lease_live(tables, 1.3)


def test_an_older_view_is_never_installed():
    tables = make_voter()
    members = {'b3': GROUP[2]}
    assert install_view(tables, 0, View(4, members, {'b3': 1}))
    assert not install_view(tables, 0, View(3, members, {'b3': 1}))
    assert tables.view.epoch == 4


@pytest.mark.parametrize('seed', range(5))
def test_a_group_elects_one_coordinator_and_agrees_on_its_view(seed):
    fleet = make_group(seed)
    assert len(coordinators(fleet)) == 1
    [(_, members)] = views(fleet)
    assert members == NAMES
    now = fleet.queue.now
    assert all(is_ready(one, now) for one in fleet.balancers_by_id.values())


@pytest.mark.parametrize('victim', ['b1', 'b4'])
def test_a_lost_member_is_removed_and_added_again(victim):
    fleet = make_group()
    [(before, _)] = views(fleet)
    fakes.kill(fleet, victim)
    run_until(fleet.queue, 8)
    assert len(coordinators(fleet)) == 1
    [(after, members)] = views(fleet)
    assert after > before
    assert victim not in members
    fakes.start_balancer(fleet, victim)
    run_until(fleet.queue, 12)
    [(_, members)] = views(fleet)
    assert members == NAMES


@pytest.mark.parametrize('leaver', ['b1', 'b4'])
def test_a_leaving_member_is_removed_immediately(leaver):
    fleet = make_group()
    tables = fleet.balancers_by_id[leaver]
    fakes.stop_gracefully(fleet, leaver)
    run_until(fleet.queue, ELECTED_BY + 0.4)
    assert has_left(tables)
    [(_, members)] = views(fleet)
    assert leaver not in members
    run_until(fleet.queue, ELECTED_BY + 2)
    assert len(coordinators(fleet)) == 1
    now = fleet.queue.now
    assert all(is_ready(one, now) for one in fleet.balancers_by_id.values())


def test_a_minority_has_no_lease():
    fleet = make_group()
    fleet.network.partition_by_node.update(b1=1, b2=1)
    run_until(fleet.queue, 10)
    now = fleet.queue.now
    ready = {
        name
        for name, one in fleet.balancers_by_id.items()
        if is_ready(one, now)
    }
    assert ready == {'b3', 'b4', 'b5'}
    assert coordinators(fleet) == ['b3']
    fleet.network.partition_by_node.clear()
    run_until(fleet.queue, 14)
    assert len(views(fleet)) == 1
    assert len(coordinators(fleet)) == 1


def test_two_coordinators_never_hold_the_lease_at_once():
    fleet = make_group(3)
    rng = fleet.queue.rng
    fleet.network.loss = 0.2
    for _ in range(200):
        sides = {name: rng.randrange(2) for name in NAMES}
        fleet.network.partition_by_node = sides if rng.random() < 0.5 else {}
        run_until(fleet.queue, fleet.queue.now + rng.uniform(0.1, 1))
        assert len(coordinators(fleet)) <= 1
