"""Evacuation orders over HTTP, the feed, the disk and the command line."""

import logging
from datetime import timedelta

import httpx
import msgspec
import pytest

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.document_store import (
    EVACUATIONS_NAME,
    load_evacuations,
)
from mustardhold.adapters.http_app import HandlerRequest, make_app
from mustardhold.adapters.http_client import HttpResponse
from mustardhold.adapters.metrics import render_metrics
from mustardhold.cli import main
from mustardhold.commands import data_centres
from mustardhold.daemons import operator_client, proposals
from mustardhold.daemons.directory_maintenance import save_evacuation_state
from mustardhold.daemons.feed_handlers import handle_feed_poll, has_updates
from mustardhold.daemons.registry_control import make_internal_handlers
from mustardhold.daemons.registry_metrics import collect_metrics
from mustardhold.daemons.registry_state import make_control
from mustardhold.daemons.replica_node import (
    PendingProposal,
    close_node,
    execute_effects,
)
from mustardhold.platform.control import make_handlers
from mustardhold.systems import consensus
from mustardhold.tables.consensus import Pending, ReplicaMember
from mustardhold.tables.evacuations import (
    NO_EVACUATIONS,
    EvacuatedDataCentre,
    EvacuationState,
)
from mustardhold.tables.feed import FeedPosition, FeedReply, FeedRequest
from mustardhold.tables.options import ControlOptions, GrowthPolicy
from mustardhold.tables.outcomes import Err, Ok
from mustardhold.tables.routing import (
    Accepted,
    Finding,
    NoQuorum,
    Refused,
    Unknown,
)

STATE = EvacuationState(7, (EvacuatedDataCentre('dc-1', 'c1', 5),))
ORDER = b'{"data_centre": "dc-1", "action": "evacuate"}'
START = '/api/evacuation/dc-1/start'
END = '/api/evacuation/dc-1/end'


def make_instance(folder):
    options = ControlOptions('c1', 'dc-1', '127.0.0.1:1', str(folder), ())
    made = make_control(
        options,
        GrowthPolicy(1, may_form=True),
        timedelta(seconds=1),
        SystemClock(),
        logging.getLogger('test'),
    )
    made.node.data_centres = frozenset({'dc-1', 'dc-2'})
    return made


def lead(instance):
    """Let an instance become the leader of a group of one."""
    for delay in (0, 3):
        now = instance.node.clock.monotonic() + delay
        effects = consensus.tick(instance.node.replica, now)
        execute_effects(instance.node, effects)
    return instance


@pytest.fixture
def follower(tmp_path):
    """Return a control instance without a leader."""
    made = make_instance(tmp_path)
    yield made
    close_node(made.node)


@pytest.fixture
def control(follower):
    """Return a control instance that leads a group of one."""
    return lead(follower)


async def call(control, method, path, body=b''):
    handlers = {
        **make_handlers(control).handlers,
        **make_internal_handlers(control),
    }
    transport = httpx.ASGITransport(make_app(handlers))
    async with httpx.AsyncClient(
        transport=transport, base_url='http://control'
    ) as client:
        return await client.request(method, path, content=body)


async def test_orders_are_acknowledged_logged_and_counted(control, caplog):
    """Each order leaves one line with its outcome, revision and requester."""
    caplog.set_level(logging.INFO)
    for method, path, body in (
        ('POST', START, b''),
        ('POST', '/evacuations', ORDER),
        ('POST', END, b''),
    ):
        assert (await call(control, method, path, body)).status_code == 200
    lines = [
        (line.action, line.outcome, line.requester, line.revision)
        for line in caplog.records
        if line.message == 'evacuation order answered'
    ]
    revisions = [line[-1] for line in lines]
    assert [line[:3] for line in lines] == [
        ('evacuate', 'Accepted', 'c1'),
        ('evacuate', 'Accepted', 'c1'),
        ('restore', 'Accepted', 'c1'),
    ]
    assert revisions[0] == revisions[1] < revisions[2]
    assert caplog.text.count('evacuated data centres changed') == 2
    assert control.node.replica.counters['evacuation', 'accepted'] == 3
    metrics = render_metrics(*collect_metrics(control.node, control.directory))
    assert b'evacuated_data_centres 0' in metrics.body
    assert b'evacuation_seconds' in metrics.body
    shown = await call(control, 'GET', '/evacuations')
    state = msgspec.json.decode(shown.content, type=EvacuationState)
    assert state == control.node.replica.evacuations


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('POST', START, b'{}', 400),
        ('POST', END, b' ', 400),
        ('POST', '/api/evacuation/dc-9/start', b'', 400),
        ('POST', '/api/evacuation//start', b'', 400),
        ('POST', '/api/evacuation/dc-1/pause', b'', 404),
        ('POST', '/api/evacuation/dc-1/start/x', b'', 404),
        ('GET', START, b'', 405),
        ('POST', '/evacuations', b'', 400),
        ('POST', '/evacuations', b'\xff{', 400),
        ('POST', '/evacuations', b'[' * 100_000, 400),
        ('POST', '/evacuations', b'x' * 300_000, 413),
        ('POST', '/evacuations', b'{"data_centre": "dc-1"}', 400),
        ('POST', '/evacuations', ORDER.replace(b'evacuate', b'x'), 400),
        ('POST', '/evacuations', ORDER.replace(b'"dc-1"', b'1'), 400),
        ('POST', '/evacuations', ORDER.replace(b'dc-1', b'dc-9'), 422),
    ],
)
async def test_bad_orders_are_refused_with_findings_and_have_no_effect(
    control, method, path, body, status
):
    """A malformed call must never change where flows go."""
    entries = len(control.node.replica.log)
    reply = await call(control, method, path, body)
    assert reply.status_code == status
    assert msgspec.json.decode(reply.content, type=Refused).findings
    assert len(control.node.replica.log) == entries
    assert control.node.replica.evacuations == NO_EVACUATIONS


async def test_without_a_quorum_the_answer_is_503(follower):
    """An order that no majority has must not look acknowledged."""
    assert (await call(follower, 'POST', START)).status_code == 503
    reply = await call(follower, 'POST', '/evacuations', ORDER)
    assert reply.status_code == 503
    assert (await call(follower, 'GET', '/evacuations')).status_code == 503


@pytest.mark.parametrize('status', [404, 500])
async def test_failure_of_the_leader_is_no_refusal(
    follower, monkeypatch, status
):
    """A fault of the leader's disk must not end the operator's call for good.

    The page of the error has the form of a refusal.
    """
    page = msgspec.json.encode(Refused((Finding('', 'internal fault'),)))

    async def send_request(*_):
        return Ok(HttpResponse(status, page))

    monkeypatch.setattr(proposals, 'send_request', send_request)
    follower.node.replica.leader = ReplicaMember('u2', 'c2', 'c2:1')
    assert (await call(follower, 'POST', START)).status_code == 503
    assert (await call(follower, 'POST', '/evacuations', ORDER)).is_server_error


async def test_end_of_a_wait_leaves_a_later_order_at_its_index(follower):
    """Guards against a later order that is committed but never answered.

    A leader that loses its role and regains it may use an index twice.
    """
    earlier, later = PendingProposal(1), PendingProposal(3)
    follower.node.proposals_by_index[5] = later
    earlier.done.set()
    await proposals.wait_outcome(follower.node, Pending(5, 1), earlier)
    assert follower.node.proposals_by_index == {5: later}


@pytest.mark.parametrize(('status', 'is_certain'), [(422, True), (500, False)])
def test_command_takes_a_failure_for_no_refusal(
    monkeypatch, status, is_certain
):
    """The order of an instance whose disk failed goes on to the next one."""
    page = msgspec.json.encode(Refused((Finding('', 'internal fault'),)))
    reply = httpx.Response(status, content=page)
    monkeypatch.setattr(operator_client.httpx, 'post', lambda *_, **__: reply)
    posted = operator_client.post('a:1', '/evacuations', ORDER)
    assert operator_client.is_certain(posted.value) is is_certain


def test_command_names_an_address_that_is_none(monkeypatch, capsys):
    """A mistyped address must not end the command before the others."""
    monkeypatch.setattr(data_centres, 'PAUSE_SECONDS', 0)
    assert main(['data-centre', 'evacuate', 'dc-1', '--control=a:x']) == 1
    assert 'not sent: a:x: Invalid port' in capsys.readouterr().err


async def test_evacuated_data_centre_can_be_restored_without_settings(control):
    """Settings that drop a data centre must not leave it evacuated."""
    await call(control, 'POST', START)
    control.node.data_centres = frozenset()
    assert (await call(control, 'POST', START)).status_code == 200
    assert (await call(control, 'POST', END)).status_code == 200
    assert (await call(control, 'POST', START)).status_code == 400


async def test_restarted_instance_restores_the_state_and_its_copy(tmp_path):
    """The copy for the early feed and the log must both keep the state."""
    first = lead(make_instance(tmp_path))
    await call(first, 'POST', START)
    state = first.node.replica.evacuations
    await save_evacuation_state(first.saver)
    close_node(first.node)
    second = make_instance(tmp_path)
    assert second.node.replica.evacuations == state
    assert load_evacuations(second.node.disk) == state
    second.node.disk.append(EVACUATIONS_NAME, b'x')
    assert load_evacuations(second.node.disk) == NO_EVACUATIONS
    close_node(second.node)


async def test_copy_for_the_early_feed_never_goes_back(tmp_path):
    """Guards against a restart that does not know yet what is committed.

    The commit index may be older than the copy: it may fail to be written.
    """
    first = lead(make_instance(tmp_path))
    await call(first, 'POST', START)
    state = first.node.replica.evacuations
    await save_evacuation_state(first.saver)
    close_node(first.node)
    second = make_instance(tmp_path)
    second.node.replica.evacuations = EvacuationState(1)
    await save_evacuation_state(second.saver)
    assert load_evacuations(second.node.disk) == state
    close_node(second.node)


async def poll(feed, query):
    """Return the state that a reply to a poll carries."""
    request = HandlerRequest({}, msgspec.json.encode(query))
    reply = await handle_feed_poll(feed, request)
    return msgspec.json.decode(reply.body, type=FeedReply).evacuations


@pytest.mark.parametrize(
    ('revision', 'is_control', 'expected'),
    [(0, False, STATE), (6, False, STATE), (7, False, None), (0, True, None)],
)
async def test_poll_is_answered_at_once_where_the_state_is_newer(
    control, revision, is_control, expected
):
    """A balancer must learn of an order with its next reply, and only once."""
    control.node.replica.evacuations = STATE
    feed = control.feed
    query = FeedRequest(
        'b1',
        FeedPosition(feed.run_id),
        feed.configuration().version,
        is_control=is_control,
        evacuation_revision=revision,
    )
    assert has_updates(feed, query.position, query) is (expected is not None)
    assert await poll(feed, query) == expected


async def test_poll_of_an_earlier_version_waits_for_changes(control):
    """Balancers that cannot take the state must not poll without a pause."""
    control.node.replica.evacuations = STATE
    query = FeedRequest('b1', FeedPosition(control.feed.run_id))
    fields = msgspec.to_builtins(query)
    del fields['evacuation_revision']
    earlier = msgspec.convert(fields, FeedRequest)
    assert not has_updates(control.feed, earlier.position, earlier)


async def test_shared_first_reply_follows_the_state(control):
    """The cached reply for starting balancers must not be of an old state."""
    feed, evacuations = control.feed, []
    for state in (NO_EVACUATIONS, STATE):
        control.node.replica.evacuations = state
        # A watcher that knows more must not shape the reply of the others.
        query = FeedRequest('b1', evacuation_revision=9)
        evacuations.append(await poll(feed, query))
    assert evacuations == [None, STATE]


@pytest.mark.parametrize(
    ('outcomes', 'exit_code', 'printed'),
    [
        ([Err(''), Ok(Unknown()), Ok(Accepted(8))], 0, 'revision 8'),
        ([Ok(Refused((Finding('data_centre', 'is odd'),)))], 1, 'is odd'),
        ([Ok(NoQuorum(None))] * 12, 1, 'no majority'),
        ([Err('refused')] * 12, 1, 'not sent: a:1: refused'),
    ],
    ids=['retried', 'refused', 'no-quorum', 'unreachable'],
)
def test_command_retries_until_an_order_is_certain(
    monkeypatch, capsys, outcomes, exit_code, printed
):
    """An order whose answer is uncertain goes on to the next address."""
    remaining = list(outcomes)
    monkeypatch.setattr(data_centres, 'PAUSE_SECONDS', 0)
    monkeypatch.setattr(data_centres, 'post', lambda *_: remaining.pop(0))
    arguments = 'data-centre evacuate dc-1 --control a:1 --control b:1'
    assert main(arguments.split()) == exit_code
    shown = capsys.readouterr()
    assert printed in shown.out + shown.err
    assert not remaining


def test_command_lists_the_evacuated_data_centres(monkeypatch, capsys):
    """An instance that is not certain must not hide what another one knows."""
    answers = [Err('knows no leader'), Ok(STATE)]
    monkeypatch.setattr(data_centres, 'fetch_from', lambda _: answers.pop(0))
    assert main(['data-centre', 'list', '--control=a', '--control=b']) == 0
    assert capsys.readouterr().out == 'dc-1 since 1970-01-01T00:00:05Z by c1\n'
