"""Settings that are sound one by one but impossible together."""

import ipaddress
from collections.abc import Iterable, Iterator

from mustardhold.tables.findings import KeyFinding
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.views import Member

Named = tuple[str, str]


def find_repeats(values_by_key: Iterable[Named]) -> Iterator[KeyFinding]:
    """Yield each value that an earlier key has as well."""
    first_key_by_value: dict[str, str] = {}
    for key, value in values_by_key:
        first = first_key_by_value.setdefault(value, key)
        if first != key:
            yield KeyFinding(key, f'{value!r} is also at {first}')


def ip_of(address: str) -> ipaddress.IPv4Address:
    """Read the host of a checked address."""
    return ipaddress.IPv4Address(address.rpartition(':')[0])


def find_balancer_errors(options: BalancerOptions) -> Iterator[KeyFinding]:
    """Yield impossible combinations in a balancer's settings."""
    yield from find_group_faults(options)
    yield from find_repeats(
        (
            ('data_address', options.data_address),
            ('peer_address', options.peer_address),
        )
    )
    controls = [
        (f'control_addresses[{index}]', address)
        for index, address in enumerate(options.control_addresses)
    ]
    yield from find_repeats([('http_address', options.http_address), *controls])
    if not controls:
        yield KeyFinding('control_addresses', 'must name a control replica')
    for key in ('data_address', 'peer_address'):
        if ip_of(getattr(options, key)).is_unspecified:
            yield KeyFinding(key, 'must be one that other processes can reach')
    if options.withdrawal >= options.stop_bound:
        yield KeyFinding('withdrawal', 'must be shorter than stop_bound')


def find_group_faults(options: BalancerOptions) -> Iterator[KeyFinding]:
    """Yield faults of the spray group, and of this balancer's place in it."""
    yield from find_repeats(
        (f'group[{index}].instance_id', member.instance_id)
        for index, member in enumerate(options.group)
    )
    yield from find_repeats(
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
            yield from find_own_faults(options, member, key)
    if not is_found:
        yield KeyFinding('group', f'does not hold {options.instance_id!r}')


def find_own_faults(
    options: BalancerOptions, member: Member, key: str
) -> Iterator[KeyFinding]:
    """Yield differences between a balancer and its entry in the group."""
    for name in ('data_centre', 'peer_address'):
        own = getattr(options, name)
        if getattr(member, name) != own:
            yield KeyFinding(f'{key}.{name}', f'differs from {name}, {own!r}')


def find_control_errors(options: ControlOptions) -> Iterator[KeyFinding]:
    """Yield impossible combinations in a control replica's settings."""
    if not options.folder:
        yield KeyFinding('folder', 'must not be empty')
    count = len(options.replicas)
    if count and count % 2 == 0:
        yield KeyFinding(
            'replicas',
            f'{count} replicas survive no more losses than {count - 1} would; '
            'use an odd number',
        )
    for name in ('instance_id', 'http_address'):
        yield from find_repeats(
            (f'replicas[{index}].{name}', getattr(replica, name))
            for index, replica in enumerate(options.replicas)
        )
    yield from find_own_replica_faults(options)


def find_own_replica_faults(options: ControlOptions) -> Iterator[KeyFinding]:
    """Yield differences between a replica and its entry in the list."""
    is_found = not options.replicas
    for index, replica in enumerate(options.replicas):
        if replica.instance_id != options.instance_id:
            continue
        is_found = True
        for name in ('data_centre', 'http_address'):
            own = getattr(options, name)
            if getattr(replica, name) != own:
                yield KeyFinding(
                    f'replicas[{index}].{name}', f'differs from {name}, {own!r}'
                )
    if not is_found:
        yield KeyFinding('replicas', f'does not hold {options.instance_id!r}')
