"""Tests the way of evidence to a collector, and of suspicions back."""

import json
import logging
from collections import Counter

import msgspec
import pytest

from mustardhold.adapters.http_app import HandlerRequest
from mustardhold.adapters.http_client import HttpClient, HttpResponse
from mustardhold.daemons import evidence_posts
from mustardhold.daemons.evidence_handlers import (
    CollectorState,
    handle_evidence,
)
from mustardhold.daemons.evidence_posts import (
    EvidencePoster,
    post_evidence,
    take_due,
)
from mustardhold.daemons.feed_handlers import has_updates
from mustardhold.daemons.feed_polls import merge_reply
from mustardhold.daemons.feed_publisher import FeedPublisher
from mustardhold.daemons.feed_replies import make_reply
from mustardhold.daemons.feed_state import FeedClient, WatcherIdentity
from mustardhold.systems.suspicions import suspect_tokens, suspect_until
from mustardhold.tables.answer_tracking import ServerOutcomes, ServiceAnswers
from mustardhold.tables.configurations import NO_DOCUMENT
from mustardhold.tables.directory import Directory
from mustardhold.tables.feed import (
    FeedPosition,
    FeedReply,
    FeedRequest,
    FeedSource,
    ReceivedReply,
    Watcher,
)
from mustardhold.tables.forwarding import ForwardingTables
from mustardhold.tables.outcomes import Err, Ok
from mustardhold.tables.suspicions import Suspect
from tools.fakes.clock import FakeClock
from tools.fakes.evidence_fleet import SERVICE, Fleet, play

CONTROLS = {'10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'}


def make_poster(monkeypatch, dead):
    """Make a poster whose requests to dead addresses fail."""
    asked = []

    async def send(client, request, seconds):
        asked.append(request.address)
        if request.address in dead:
            return Err('timed out')
        return Ok(HttpResponse(200, b'{"pause_ms":900}'))

    monkeypatch.setattr(evidence_posts, 'send_request', send)
    tracking = ForwardingTables().answers
    clock = FakeClock(10)
    service = ServiceAnswers(SERVICE, 9)
    tracking.services_by_name[SERVICE] = service
    poster = EvidencePoster(
        'b-1', tracking, lambda: CONTROLS, clock, HttpClient(), Counter()
    )
    return poster, service, asked


def see(service, late):
    service.outcomes_by_token[7] = ServerOutcomes(late, 0, 3)
    service.has_bad = late > 0


async def test_evidence_goes_to_the_next_collector_if_one_is_dead(monkeypatch):
    dead = set()
    poster, service, asked = make_poster(monkeypatch, dead)
    see(service, late=2)
    (post,) = take_due(poster)
    await post_evidence(poster, post)
    dead.update(asked)
    await post_evidence(poster, post)
    # The dead one is asked once, and then only after the others.
    await post_evidence(poster, post)
    assert asked[0] == asked[1]
    assert asked[2] == asked[3] != asked[0]
    dead.update(CONTROLS)
    await post_evidence(poster, post)
    assert len(asked) == 7
    assert poster.counters['evidence', 'lost'] == 1


async def test_suspended_balancer_drops_what_it_saw_before(monkeypatch):
    """Guards against evidence that is counted long after it was seen."""
    poster, service, asked = make_poster(monkeypatch, CONTROLS)
    see(service, late=0)
    assert not take_due(poster)
    see(service, late=2)
    poster.clock.seconds += 5
    assert not take_due(poster)
    see(service, late=2)
    poster.clock.seconds += 0.2
    (post,) = take_due(poster)
    assert post.age_ms == 200
    send = evidence_posts.send_request

    async def suspend(*args):
        poster.clock.seconds += 5
        return await send(*args)

    monkeypatch.setattr(evidence_posts, 'send_request', suspend)
    await post_evidence(poster, post)
    assert len(asked) == 1
    assert poster.counters['evidence', 'lost'] == 2


async def test_nothing_is_posted_without_bad_answers_or_within_the_pause(
    monkeypatch,
):
    poster, service, _ = make_poster(monkeypatch, set())
    see(service, late=0)
    assert not take_due(poster)
    see(service, late=1)
    (post,) = take_due(poster)
    assert post.servers[0] == msgspec.convert(
        [7, 1, 0, 3], type(post.servers[0])
    )
    await post_evidence(poster, post)
    see(service, late=1)
    assert not take_due(poster)
    poster.clock.seconds += 0.9
    assert take_due(poster)


def make_collector_state():
    fleet = play(Fleet(rate=0.001), 0.001)
    woken = []
    state = CollectorState(
        fleet.directory,
        FakeClock(10),
        logging.getLogger('test'),
        Counter(),
        lambda: woken.append(1),
    )
    return state, list(fleet.directory.servers_by_token), woken


POST = {
    'reporter': 'b-1',
    'service': SERVICE,
    'age_ms': 5,
    'busy_ms': 5,
    'servers': [[1, 1, 0, 0]],
}


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"reporter":"b"}',
        *(
            json.dumps(POST | changes).encode()
            for changes in (
                {'servers': [[1, -1, 0, 0]]},
                {'servers': POST['servers'] * 600},
                {'reporter': ''},
                {'busy_ms': -1},
                # Sums of floats that large lose the loads of the others.
                {'busy_ms': 10**20},
                {'busy_ms': 10**400},
                {'more': 1},
            )
        ),
    ],
)
async def test_malformed_evidence_is_refused(body):
    state, _, woken = make_collector_state()
    reply = await handle_evidence(state, HandlerRequest({}, body))
    assert reply.status == 400
    assert state.counters['evidence', 'malformed'] == 1
    assert not state.collector.services_by_name
    assert not woken


async def test_suspicion_is_logged_with_its_inputs(caplog):
    caplog.set_level(logging.INFO)
    state, tokens, woken = make_collector_state()
    for reporter in ('b-1', 'b-2'):
        state.clock.seconds += 0.2
        servers = [[tokens[0], 0, 3, 1]]
        post = POST | {'reporter': reporter, 'servers': servers}
        body = msgspec.json.encode(post)
        reply = await handle_evidence(state, HandlerRequest({}, body))
        assert reply.status == 200
    (record,) = caplog.records
    assert record.message == 'suspicion began'
    assert (record.short, record.good, record.reporters) == (6, 2, 2)
    assert suspect_tokens(
        state.directory.suspicions, state.clock.monotonic()
    ) == [tokens[0]]
    assert woken


@pytest.mark.parametrize('held_up', [0, 1.5])
def test_suspicion_lasts_no_longer_where_it_is_received(held_up):
    clock, directory, woken = FakeClock(10), Directory(), []
    client = FeedClient(
        WatcherIdentity('b-1', 'dc-1', ''),
        directory,
        clock,
        logging.getLogger('test'),
        Counter(),
        2,
        set(),
        None,
        lambda _: None,
        woken.append,
    )
    reply = FeedReply(FeedPosition('run'), (), 1, suspects=(Suspect(7, 2_000),))
    received = ReceivedReply(reply, clock.seconds - held_up)
    merge_reply(client, 'address', FeedSource(), received)
    assert woken
    for age, expected in ((1.9, [7]), (2.1, [])):
        now = 10 - held_up + age
        assert suspect_tokens(directory.suspicions, now) == expected


def test_feed_does_not_repeat_unchanged_suspicions():
    clock, directory = FakeClock(10), Directory()
    feed = FeedPublisher(
        'run', directory, lambda: NO_DOCUMENT, clock.monotonic, tuple, clock, 9
    )
    for is_control in (False, True):
        query = FeedRequest('w', is_control=is_control)
        suspect_until(directory.suspicions, clock.seconds, 7, clock.seconds + 4)
        known = FeedPosition('run')
        assert has_updates(feed, known, query)
        reply = make_reply(feed, Watcher(), known, query, 0)
        assert [tuple(msgspec.to_builtins(one)) for one in reply.suspects] == [
            (7, 4_000)
        ]
        assert not has_updates(feed, reply.position, query)
        later = make_reply(feed, Watcher(), reply.position, query, 0)
        assert not later.suspects
        clock.seconds += 20
