"""Finds settings files that are valid alone but inconsistent together."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from mustardhold.tables.findings import KeyFinding
from mustardhold.tables.options import BalancerOptions, ControlOptions

AnyOptions = BalancerOptions | ControlOptions
UDP_KEYS = ('data_address', 'peer_address')


@dataclass(frozen=True, slots=True)
class FileFinding:
    """A finding, and the settings file that it concerns."""

    file: str
    finding: KeyFinding


def find_fleet_errors(
    options_by_file: Mapping[str, AnyOptions],
) -> Iterator[FileFinding]:
    """Yield inconsistencies between the settings files of one fleet."""
    yield from find_shared_values(options_by_file)
    balancers = {
        file: options
        for file, options in options_by_file.items()
        if isinstance(options, BalancerOptions)
    }
    controls = {
        file: options
        for file, options in options_by_file.items()
        if isinstance(options, ControlOptions)
    }
    yield from find_group_differences(balancers)
    yield from find_replica_differences(controls)
    if controls:
        yield from find_unknown_controls(balancers, controls.values())


def exclusive_values(options: AnyOptions) -> Iterator[tuple[str, str, str]]:
    """Yield key, scope and value of each setting that must be unique."""
    yield 'instance_id', 'id', options.instance_id
    yield 'http_address', 'tcp', options.http_address
    if isinstance(options, BalancerOptions):
        for key in UDP_KEYS:
            yield key, 'udp', getattr(options, key)


def find_shared_values(
    options_by_file: Mapping[str, AnyOptions],
) -> Iterator[FileFinding]:
    """Yield ids and addresses that two processes share."""
    first_by_value: dict[tuple[str, str], tuple[str, str]] = {}
    for file, options in options_by_file.items():
        for key, scope, value in exclusive_values(options):
            location = (file, key)
            first = first_by_value.setdefault((scope, value), location)
            if first[0] != file:
                message = f'{value!r} is also {first[1]} in {first[0]}'
                yield FileFinding(file, KeyFinding(key, message))


def find_group_differences(
    balancers: Mapping[str, BalancerOptions],
) -> Iterator[FileFinding]:
    """Yield groups that have a member in common but differ."""
    first_by_member: dict[str, str] = {}
    for file, options in balancers.items():
        for member in options.group:
            first = first_by_member.setdefault(member.instance_id, file)
            if set(balancers[first].group) != set(options.group):
                message = f'differs from the group in {first}'
                yield FileFinding(file, KeyFinding('group', message))
                break


def find_replica_differences(
    controls: Mapping[str, ControlOptions],
) -> Iterator[FileFinding]:
    """Yield lists of replicas that differ."""
    lists = [
        (file, set(options.replicas)) for file, options in controls.items()
    ]
    for file, replicas in lists[1:]:
        if replicas != lists[0][1]:
            message = f'differs from the replicas in {lists[0][0]}'
            yield FileFinding(file, KeyFinding('replicas', message))


def find_unknown_controls(
    balancers: Mapping[str, BalancerOptions],
    controls: Iterable[ControlOptions],
) -> Iterator[FileFinding]:
    """Yield control addresses that no replica in the checked files has."""
    known = {options.http_address for options in controls}
    for options in controls:
        known.update(replica.http_address for replica in options.replicas)
    for file, balancer in balancers.items():
        for index, address in enumerate(balancer.control_addresses):
            if address not in known:
                message = f'no control replica serves at {address!r}'
                key = f'control_addresses[{index}]'
                yield FileFinding(file, KeyFinding(key, message))
