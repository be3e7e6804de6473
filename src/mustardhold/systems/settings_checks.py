"""Finds settings that are valid one by one but not in combination."""

import ipaddress
from collections.abc import Iterable, Iterator

from mustardhold.tables.findings import KeyFinding
from mustardhold.tables.hedging import HedgingOptions, RequestClass
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.views import Member

KeyValue = tuple[str, str]


def find_duplicates(values_by_key: Iterable[KeyValue]) -> Iterator[KeyFinding]:
    """Yield a finding for each value that an earlier key has too."""
    first_key_by_value: dict[str, str] = {}
    for key, value in values_by_key:
        first = first_key_by_value.setdefault(value, key)
        if first != key:
            yield KeyFinding(key, f'{value!r} is also at {first}')


def ip_of(address: str) -> ipaddress.IPv4Address:
    """Return the IP address of a valid ``"ip:port"``."""
    return ipaddress.IPv4Address(address.rpartition(':')[0])


def find_balancer_errors(options: BalancerOptions) -> Iterator[KeyFinding]:
    """Yield invalid combinations in a balancer's settings."""
    yield from find_group_errors(options)
    yield from find_duplicates(
        (
            ('data_address', options.data_address),
            ('peer_address', options.peer_address),
        )
    )
    controls = [
        (f'control_addresses[{index}]', address)
        for index, address in enumerate(options.control_addresses)
    ]
    yield from find_duplicates(
        [('http_address', options.http_address), *controls]
    )
    if not controls:
        yield KeyFinding(
            'control_addresses', 'must contain at least one address'
        )
    for key in ('data_address', 'peer_address'):
        if ip_of(getattr(options, key)).is_unspecified:
            yield KeyFinding(key, 'must be one that other processes can reach')
    if options.withdrawal >= options.stop_bound:
        yield KeyFinding('withdrawal', 'must be shorter than stop_bound')
    if options.hedging is not None:
        yield from find_hedging_errors(options.hedging)


def find_hedging_errors(hedging: HedgingOptions) -> Iterator[KeyFinding]:
    """Yield settings of hedging that are out of range."""
    if not 0 < hedging.share <= 1:
        yield KeyFinding('hedging.share', 'must be above 0 and at most 1')
    for name in ('services', 'kinds'):
        if not getattr(hedging, name):
            yield KeyFinding(f'hedging.{name}', 'must name at least one')
    yield from find_duplicates(
        (f'hedging.services[{index}]', service)
        for index, service in enumerate(hedging.services)
    )
    for index, kind in enumerate(hedging.kinds):
        if kind is not RequestClass.IDEMPOTENT:
            yield KeyFinding(
                f'hedging.kinds[{index}]',
                'cannot be hedged, as such a request runs at most once',
            )


def find_group_errors(options: BalancerOptions) -> Iterator[KeyFinding]:
    """Yield errors in the spray group and in this balancer's entry in it."""
    yield from find_duplicates(
        (f'group[{index}].instance_id', member.instance_id)
        for index, member in enumerate(options.group)
    )
    yield from find_duplicates(
        (f'group[{index}].peer_address', member.peer_address)
        for index, member in enumerate(options.group)
    )
    is_loopback = ip_of(options.peer_address).is_loopback
    is_found = False
    for index, member in enumerate(options.group):
        key = f'group[{index}]'
        if ip_of(member.peer_address).is_loopback != is_loopback:
            yield KeyFinding(
                f'{key}.peer_address',
                'a loopback address cannot reach one that is not',
            )
        if member.instance_id == options.instance_id:
            is_found = True
            yield from find_own_member_errors(options, member, key)
    if not is_found:
        yield KeyFinding('group', f'does not contain {options.instance_id!r}')


def find_own_member_errors(
    options: BalancerOptions, member: Member, key: str
) -> Iterator[KeyFinding]:
    """Yield differences between a balancer and its entry in the group."""
    for name in ('data_centre', 'peer_address'):
        expected = getattr(options, name)
        if getattr(member, name) != expected:
            yield KeyFinding(
                f'{key}.{name}', f'differs from {name}, {expected!r}'
            )


def find_control_errors(options: ControlOptions) -> Iterator[KeyFinding]:
    """Yield invalid combinations in a control replica's settings."""
    if not options.folder:
        yield KeyFinding('folder', 'must not be empty')
    count = len(options.replicas)
    if count and count % 2 == 0:
        yield KeyFinding(
            'replicas',
            f'{count} replicas tolerate no more failures than {count - 1}; '
            'use an odd number',
        )
    for name in ('instance_id', 'http_address'):
        yield from find_duplicates(
            (f'replicas[{index}].{name}', getattr(replica, name))
            for index, replica in enumerate(options.replicas)
        )
    yield from find_own_replica_errors(options)


def find_own_replica_errors(options: ControlOptions) -> Iterator[KeyFinding]:
    """Yield differences between a replica and its entry in the list."""
    is_found = not options.replicas
    for index, replica in enumerate(options.replicas):
        if replica.instance_id != options.instance_id:
            continue
        is_found = True
        for name in ('data_centre', 'http_address'):
            expected = getattr(options, name)
            if getattr(replica, name) != expected:
                yield KeyFinding(
                    f'replicas[{index}].{name}',
                    f'differs from {name}, {expected!r}',
                )
    if not is_found:
        yield KeyFinding(
            'replicas', f'does not contain {options.instance_id!r}'
        )
