"""Reports of foreign writers: refused, and harmless wherever they come from."""

import ipaddress
import json
import logging
import random
from collections import Counter
from http import HTTPStatus

import msgspec
import pytest
import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.directory_store import (
    DirectoryStore,
    load_reports,
    save_changes,
    write_snapshot,
)
from mustardhold.adapters.http_app import HandlerRequest
from mustardhold.daemons.directory_maintenance import save_periodically
from mustardhold.daemons.feed_polls import merge_reply
from mustardhold.daemons.feed_state import FeedClient, WatcherIdentity
from mustardhold.daemons.replica_node import close_node
from mustardhold.platform.control import handle_report
from mustardhold.platform.reports import read_report
from mustardhold.systems.addresses import split_address
from mustardhold.tables.directory import (
    Directory,
    DirectoryRow,
    ServerReport,
    ServerState,
)
from mustardhold.tables.feed import (
    FeedPosition,
    FeedReply,
    FeedSource,
    ReceivedReply,
)
from mustardhold.tables.outcomes import Err
from tools.fakes.disks import FakeDisk
from tools.fakes.single_control import make_single_control

SOUND = ServerReport(
    'i-a1', 100, 1, 'feed', '10.0.0.1:80', 'dc-1', 2, ServerState.READY
)
BODY = {
    'service': 'backup-agent',
    'address': '10.0.0.9:80',
    'zone': 'dc-1',
    'slots': 2,
    'state': 'ready',
    'sequence': 1,
}
TOO_LARGE = 10**20
ODD_REPORTS = [
    msgspec.structs.replace(SOUND, server_id='i-c0ffee', slots=TOO_LARGE),
    msgspec.structs.replace(SOUND, server_id='i-c0ffee', slow_for_ms=TOO_LARGE),
    msgspec.structs.replace(SOUND, server_id='i-c0ffee', sequence=-1),
    msgspec.structs.replace(SOUND, server_id='i-c0ffee', service='s' * 1000),
    msgspec.structs.replace(SOUND, server_id='i-c0ffee', address='10.0.0.9:0'),
    msgspec.structs.replace(
        SOUND, server_id='i-c0ffee', address='10.0.0.9:80010'
    ),
]


@pytest.fixture
def control(tmp_path):
    made = make_single_control(tmp_path)
    yield made
    close_node(made.node)


@pytest.mark.parametrize(
    ('changes', 'place'),
    [
        ({'slots': 2**64}, 'slots'),
        ({'slots': TOO_LARGE}, 'slots'),
        ({'slots': 10**400}, 'slots'),
        ({'slots': 0}, 'slots'),
        ({'zone': 'z' * 256}, 'zone'),
        ({'service': 's' * 256}, 'service'),
        ({'cold_remaining_ms': 2**40}, 'cold_remaining_ms'),
        ({'address': '10.0.0.9:80010'}, 'address'),
        ({'address': '10.0.0.9:0'}, 'address'),
        ({'address': '10.0.0.9:80\n'}, 'address'),
        ({'address': '300.0.0.9:80'}, 'address'),
        ({'address': '0.0.0.0:80'}, 'address'),
        ({'address': '224.0.0.1:80'}, 'address'),
        ({'address': '255.255.255.255:80'}, 'address'),
        ({'address': '[10.0.0.9]:80'}, 'address'),
        ({'address': '\u0661\u0660.0.0.9:80'}, 'address'),
    ],
)
def test_report_out_of_range_is_refused_with_its_place(changes, place):
    read = read_report('i-c0ffee', json.dumps({**BODY, **changes}).encode())
    assert isinstance(read, Err)
    assert [finding.place for finding in read.error] == [place]


async def test_huge_number_of_a_foreign_report_ends_no_control_instance(
    control,
):
    """Guards against an error while the directory is saved, as in review/5."""
    body = json.dumps({**BODY, 'slots': TOO_LARGE}).encode()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(save_periodically, control.saver)
        reply = await handle_report(
            control, HandlerRequest({}, body, 'i-c0ffee')
        )
        control.saver.requested.set()
        await trio.sleep(0.2)
        nursery.cancel_scope.cancel()
    assert reply.status is HTTPStatus.BAD_REQUEST
    assert control.node.replica.counters['report', 'malformed'] == 1
    assert not control.directory.servers_by_id


@pytest.mark.parametrize('odd', ODD_REPORTS)
def test_odd_row_of_the_feed_costs_that_row_only(odd):
    """Guards against an earlier version that passes such a report on."""
    client = FeedClient(
        WatcherIdentity('c1', 'dc-1', ''),
        Directory(),
        SystemClock(),
        logging.getLogger('feed'),
        Counter(),
        2,
        set(),
        None,
        lambda _: None,
        lambda _: None,
    )
    rows = tuple(DirectoryRow(report, 0, 0) for report in (odd, SOUND))
    reply = FeedReply(FeedPosition('run-1', 2), rows, 0)
    merge_reply(client, 'c2', FeedSource(), ReceivedReply(reply, 0))
    assert list(client.directory.servers_by_id) == ['i-a1']
    assert client.counters['feed', 'row-unusable'] == 1


@pytest.mark.parametrize('odd', ODD_REPORTS[1:])
@pytest.mark.parametrize('save', [save_changes, write_snapshot])
def test_odd_report_on_disk_costs_that_report_only(odd, save):
    """Guards against a file of an earlier version that holds such a report."""
    odd = msgspec.structs.replace(odd, slow_for_ms=min(odd.slow_for_ms, 2**62))
    disk = FakeDisk(random.Random(1))
    store = DirectoryStore(disk)
    if save is save_changes:
        write_snapshot(store, ())
        save_changes(store, (odd, SOUND), ())
    else:
        write_snapshot(store, (odd, SOUND))
    restarted = DirectoryStore(disk)
    assert load_reports(restarted) == (SOUND,)
    assert restarted.unusable == 1


ODD_FIELDS = st.fixed_dictionaries(
    {},
    optional={
        'slots': st.integers(),
        'sequence': st.integers(),
        'born': st.integers(),
        'cold_remaining_ms': st.integers(),
        'service': st.text(),
        'zone': st.text(),
        'address': st.from_regex(r'\A\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z'),
    },
)


@seed(5)
@settings(max_examples=300, deadline=None, database=None)
@given(ODD_FIELDS, st.text(alphabet='0123456789abcdefx_', max_size=20))
def test_accepted_report_can_be_stored_sent_and_used(fields, digits):
    body = json.dumps({**BODY, **fields}).encode()
    read = read_report(f'i-{digits}', body)
    if isinstance(read, Err):
        assert all(finding.place for finding in read.error)
        return
    report = read.value
    packed = msgspec.msgpack.encode(report)
    assert msgspec.msgpack.decode(packed, type=ServerReport) == report
    sent = msgspec.json.encode(DirectoryRow(report, 0, 0))
    assert msgspec.json.decode(sent, type=DirectoryRow).report == report
    host, port = split_address(report.address)
    assert ipaddress.IPv4Address(host)
    assert 0 < port < 2**16
