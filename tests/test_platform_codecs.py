"""Tests of the platform's formats: valid input, and errors with locations."""

import json
import struct

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mustardhold.adapters.documents import unpack_document
from mustardhold.platform.configurations import (
    find_unknown_kinds,
    read_configuration,
    validate_document,
)
from mustardhold.platform.json_errors import MAX_NESTING
from mustardhold.platform.packets import (
    HEADER,
    make_packet_codec,
    read_packet,
)
from mustardhold.platform.reports import read_leave, read_report
from mustardhold.platform.server_ids import server_number
from mustardhold.tables.configurations import RequestKind, ServiceAddress
from mustardhold.tables.directory import KnownServer, ServerState
from mustardhold.tables.outcomes import Err, Ok

SYN_BYTES = bytes.fromhex(
    'a1b2c3d50000000011223344000000002000000001bb9c41c612000164400007'
)
CODEC = make_packet_codec('10.1.0.10:8172')
FUZZ_RUNS = 300


def route(**changes):
    """Return a valid route with changed fields; None removes a field."""
    defaults = {
        'name': 'r-1',
        'host': '198.18.0.1',
        'path_prefix': '/8080/',
        'kind': 'unsafe',
        'timeout_ms': 2500,
        'target_latency_ms': 250,
        'priority': 1,
        'service': 'orders',
        'max_attempts': 2,
    }
    merged = {**defaults, **changes}
    return {key: value for key, value in merged.items() if value is not None}


def body(*routes, **changes):
    """Return a configuration body with the given routes."""
    services = [
        {'name': name, 'health_path': '/health', 'max_flows': 2000}
        for name in ('orders', 'photos')
    ]
    defaults = {
        'version': 7,
        'routes': list(routes),
        'services': services,
        'limits': {'idle_timeout_ms': 15000},
    }
    return json.dumps({**defaults, **changes}).encode()


def with_extra(text):
    """Return a valid body with an unknown field of arbitrary content."""
    return body(route())[:-1] + b', "extra": ' + text + b'}'


@pytest.mark.parametrize(
    ('extra', 'is_valid'),
    [
        (b'"\xff"', False),
        (b'9' * 5_000, True),
        (b'1e999999', True),
        (b'[' * 100_000, False),
        (b'[' * 995 + b']' * 995, False),
        (b'{"a":' * 995 + b'1' + b'}' * 995, False),
    ],
    ids=lambda value: str(value)[:12],
)
def test_unknown_fields_are_ignored_or_refused(extra, is_valid):
    """Nesting near the limit of recursion raised while keys were compared."""
    read = validate_document(with_extra(extra))
    assert isinstance(read, Ok if is_valid else Err)


def call_deeper(frames, function):
    """Call a function below some more frames of the stack."""
    return function() if not frames else call_deeper(frames - 1, function)


@pytest.mark.parametrize('levels', [50, 900, 940, 960, 980])
@pytest.mark.parametrize(('opened', 'closed'), [(b'[', b']'), (b'{"a":', b'}')])
def test_accepted_nesting_is_read_by_a_process_with_a_deeper_stack(
    levels, opened, closed
):
    """Guards against a configuration that control takes and balancers don't.

    The limit of recursion counts the frames of the caller as well.
    """
    nested = opened * levels + b'1' + closed * levels
    read = validate_document(with_extra(nested))
    is_accepted = isinstance(read, Ok)
    assert is_accepted == (levels < MAX_NESTING)
    if is_accepted:
        document = read.value
        assert isinstance(
            call_deeper(100, lambda: read_configuration(document)), Ok
        )


def report(**changes):
    """Return a valid report body with changed fields; None removes a field."""
    defaults = {
        'service': 'orders',
        'address': '10.128.0.9:8080',
        'zone': 'bac-bo-a',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'cold_remaining_ms': 40,
        'sequence': 4,
        'born': 1_700_000_000_000,
    }
    merged = {**defaults, **changes}
    return json.dumps(
        {key: value for key, value in merged.items() if value is not None}
    ).encode()


def test_opening_is_read():
    packet = read_packet(SYN_BYTES)
    assert packet is not None
    assert packet.is_opening
    assert packet.caller == ServiceAddress(0x64400007, 40001)
    assert packet.service_address == ServiceAddress(0xC6120001, 443)
    assert (packet.token, packet.attempt) == (0, 0)


def test_reset_is_encoded_for_the_caller():
    packet = read_packet(SYN_BYTES)
    reset = CODEC.reset(packet._replace(acknowledged=0))
    assert reset.address == ('100.64.0.7', 8172)
    assert reset.payload == bytes.fromhex(
        '00000000000000000000000000000000080000009c4101bb64400007c6120001'
    )


def test_forwarded_packet_differs_only_in_the_token():
    raw = SYN_BYTES[:16] + b'\x40\x00\x00\x03' + SYN_BYTES[20:] + b'abc'
    parsed = read_report('i-7f3a91c2', report()).value
    known = KnownServer(parsed, 0, 1, 1, 0xDEADBEEF, 0)
    datagram = CODEC.forward(raw, known)
    assert datagram.address == ('10.128.0.9', 8080)
    assert datagram.payload[:8] == struct.pack('!Q', 0x7F3A91C2)
    assert datagram.payload[12:16] == b'\xde\xad\xbe\xef'
    assert datagram.payload[8:12] + datagram.payload[16:] == raw[:4] + raw[8:]


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        SYN_BYTES[:31],
        SYN_BYTES + b'x',
        SYN_BYTES[:16] + b'\x60' + SYN_BYTES[17:],
        SYN_BYTES[:16] + b'\xa0' + SYN_BYTES[17:],
        SYN_BYTES[:16] + b'\x41' + SYN_BYTES[17:],
        SYN_BYTES[:18] + b'\x04\xb1' + SYN_BYTES[20:] + bytes(1201),
    ],
    ids=[
        'empty',
        'short',
        'too-long-for-its-length',
        'foreign-syn-ack',
        'bounced',
        'unknown-flag',
        'over-1200-bytes',
    ],
)
def test_malformed_packet_is_refused(raw):
    assert read_packet(raw) is None


@seed(1)
@settings(max_examples=FUZZ_RUNS, deadline=None, database=None)
@given(st.binary(max_size=1300))
def test_arbitrary_packet_is_read_or_refused(raw):
    packet = read_packet(raw)
    if packet is not None:
        assert HEADER.size + HEADER.unpack_from(raw)[6] == len(raw)
        CODEC.reset(packet)


def test_configuration_preserves_the_original_bytes():
    raw = body(route())
    read = validate_document(raw)
    assert isinstance(read, Ok)
    assert read.value.version == 7
    assert unpack_document(read.value) == Ok(raw)
    configuration = read_configuration(read.value).value
    address = ServiceAddress(0xC6120001, 8080)
    assert configuration.routes_by_address[address].targets == (('orders', 1),)


@pytest.mark.parametrize(
    ('raw', 'place'),
    [
        (body(route())[:-9], ''),
        (body(route(service='nobody')), 'routes[0]'),
        (body(route(timeout_ms=0)), 'routes[0].timeout_ms'),
        (body(route(), route(name='r-2')), 'routes'),
        (body(route(), route(host='198.18.0.2')), 'routes'),
        (body(route(host='nonsense')), 'routes[0]'),
        (body(route(path_prefix='/70000/')), 'routes[0]'),
        (body(route(path_prefix='9' * 5_000)), 'routes[0]'),
        (body(route(target_latency_ms=1e300)), 'routes[0].target_latency_ms'),
        (body(route(), version=2**64), 'version'),
        (body(route(service=None)), 'routes[0]'),
        (
            body(
                route(service=None, split=[{'service': 'orders', 'weight': 0}])
            ),
            'routes[0].split',
        ),
        (
            body(route(service=None, split=[{'service': 'none', 'weight': 1}])),
            'routes[0].split[0]',
        ),
        (body(route(service=None, split=[])), 'routes[0]'),
        (
            body(
                route(service=None, split=[{'service': 'orders', 'weight': -1}])
            ),
            'routes[0].split[0].weight',
        ),
        (body(route(kind=7)), 'routes[0].kind'),
        (body(route(kind='')), 'routes[0].kind'),
        (body(route(priority=-1)), 'routes[0].priority'),
        (body(route(), version='7'), 'version'),
        (b'{"version":1,"version":2,"routes":[],"services":[]}', 'version'),
        (
            body(route()).replace(b'"kind"', b'"kind":"safe","kind"'),
            'routes[0].kind',
        ),
        (b'[' * 100_000, ''),
        (b'\xff', ''),
    ],
)
def test_invalid_configuration_is_refused_with_its_location(raw, place):
    read = validate_document(raw)
    assert isinstance(read, Err)
    assert place in {finding.place for finding in read.error}


def test_all_findings_of_a_configuration_are_returned():
    read = validate_document(
        body(route(host='x'), route(name='r-2', service='nobody'))
    )
    assert {finding.place for finding in read.error} == {
        'routes[0]',
        'routes[1]',
    }


def test_all_malformed_parts_of_a_configuration_are_returned():
    raw = body(
        route(timeout_ms=0, priority=-1),
        route(kind=''),
        route(host=None),
        limits={'idle_timeout_ms': 0},
    )
    assert {finding.place for finding in validate_document(raw).error} == {
        'routes[0].timeout_ms',
        'routes[0].priority',
        'routes[1].kind',
        'routes[2]',
        'limits.idle_timeout_ms',
    }


@pytest.mark.parametrize(
    ('kind', 'expected', 'findings'),
    [
        ('upload', RequestKind.UPLOAD, []),
        ('later-kind', RequestKind.UNSAFE, ['routes[0].kind']),
    ],
)
def test_unknown_kind_does_not_refuse_the_configuration(
    kind, expected, findings
):
    """A refusal of the whole document left every caller without service."""
    document = validate_document(body(route(kind=kind)))
    assert isinstance(document, Ok)
    (read,) = read_configuration(
        document.value
    ).value.routes_by_address.values()
    assert read.kind is expected
    unknown = find_unknown_kinds(document.value)
    assert [finding.place for finding in unknown] == findings


def test_very_long_timeout_does_not_stop_the_balancers():
    """A valid document that raised at every balancer would end the service."""
    document = validate_document(body(route(timeout_ms=10**18))).value
    (read,) = read_configuration(document).value.routes_by_address.values()
    assert read.timeout.days > 10_000


def split_route(**weights):
    """Return a route that splits its flows among services by weight."""
    targets = [
        {'service': name, 'weight': weight} for name, weight in weights.items()
    ]
    return route(service=None, split=targets)


def targets_of_only_route(raw):
    """Return the weighted services of a configuration's only route."""
    document = validate_document(raw)
    assert isinstance(document, Ok), document
    read = read_configuration(document.value).value
    (only,) = read.routes_by_address.values()
    return only.targets


@pytest.mark.parametrize(
    ('weights', 'expected'),
    [
        ({'orders': 90, 'photos': 10}, (('orders', 90), ('photos', 10))),
        ({'orders': 0.5, 'photos': 0}, (('orders', 0.5),)),
    ],
    ids=['two', 'one-without-weight'],
)
def test_split_names_the_services_that_get_flows(weights, expected):
    assert targets_of_only_route(body(split_route(**weights))) == expected


@seed(4)
@settings(max_examples=FUZZ_RUNS, deadline=None, database=None)
@given(st.data())
def test_damaged_message_is_read_or_refused(data):
    split = split_route(orders=90, photos=10)
    raw = bytearray(
        data.draw(
            st.sampled_from((body(split, route()), report(), b'{"born":7}'))
        )
    )
    for _ in range(data.draw(st.integers(1, 4))):
        place = data.draw(st.integers(0, len(raw) - 1))
        raw[place : place + data.draw(st.integers(0, 5))] = (
            data.draw(st.binary(max_size=4)) or b' '
        )
    damaged = bytes(raw)
    read = validate_document(damaged)
    assert isinstance(read, Ok | Err)
    if isinstance(read, Ok):
        assert isinstance(read_configuration(read.value), Ok)
    else:
        assert all(str(finding) for finding in read.error)
    assert isinstance(read_report('i-7f3a91c2', damaged), Ok | Err)
    assert isinstance(read_leave(damaged), Ok | Err)


@seed(5)
@settings(max_examples=FUZZ_RUNS, deadline=None, database=None)
@given(
    st.integers(0, len(SYN_BYTES) - 1),
    st.integers(0, 255),
    st.integers(0, len(SYN_BYTES)),
)
def test_damaged_packet_is_read_or_refused(place, value, length):
    raw = SYN_BYTES[:place] + bytes([value]) + SYN_BYTES[place + 1 :]
    packet = read_packet(raw[:length])
    if packet is not None:
        CODEC.reset(packet)


def test_report_is_read():
    read = read_report('i-7f3a91c2', report(state='draining'))
    assert isinstance(read, Ok)
    assert read.value.incarnation == 1_700_000_000_000
    assert read.value.state is ServerState.DRAINING
    assert read.value.slow_for_ms == 40


@pytest.mark.parametrize(
    ('server_id', 'raw'),
    [
        ('i-7f', report(service=None)),
        ('i-7f', report(service=7)),
        ('i-7f', report(state='dancing')),
        ('i-7f', report(sequence=-1)),
        ('i-7f', report(sequence=None)),
        ('i-7f', report(slots=0)),
        ('i-7f', report(address='nowhere')),
        ('i-7f', report(born='yesterday')),
        ('i-7f', b'\x00\xff'),
        ('i-7f', b'[]'),
        ('i-xyz', report()),
        ('', report()),
        ('i-0', report()),
        ('i-' + 'f' * 17, report()),
    ],
)
def test_malformed_report_is_refused(server_id, raw):
    assert isinstance(read_report(server_id, raw), Err)


@pytest.mark.parametrize(
    ('raw', 'incarnation'), [(b'', 0), (b'{}', 0), (b'{"born":5}', 5)]
)
def test_leave_body_may_be_empty(raw, incarnation):
    assert read_leave(raw) == Ok(incarnation)


@seed(2)
@settings(max_examples=FUZZ_RUNS, deadline=None, database=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ),
    st.sampled_from(
        ['version', 'routes', 'services', 'limits', 'state', 'address', 'born']
    ),
)
def test_arbitrary_field_value_is_read_or_refused(value, name):
    configuration_fields = json.loads(body(route()))
    validate_document(
        json.dumps({**configuration_fields, name: value}).encode()
    )
    report_fields = json.loads(report())
    raw = json.dumps({**report_fields, name: value}).encode()
    assert isinstance(read_report('i-7f', raw), Ok | Err)
    assert isinstance(read_leave(raw), Ok | Err)


@seed(3)
@settings(max_examples=FUZZ_RUNS, deadline=None, database=None)
@given(st.binary(max_size=200), st.text(max_size=30))
def test_arbitrary_body_raises_no_exception(raw, server_id):
    assert isinstance(validate_document(raw), Err)
    assert isinstance(read_report(server_id, raw), Ok | Err)
    assert isinstance(read_leave(raw), Ok | Err)


def test_server_number_is_the_hex_part():
    assert server_number('i-7f3a91c2') == 0x7F3A91C2
