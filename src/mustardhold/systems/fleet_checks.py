"""Settings files that are sound alone but do not fit together."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from mustardhold.tables.findings import KeyFinding
from mustardhold.tables.options import BalancerOptions, ControlOptions

AnyOptions = BalancerOptions | ControlOptions
UDP_KEYS = ('data_address', 'peer_address')


@dataclass(frozen=True, slots=True)
class FileFinding:
    """A finding of one file among several."""

    file: str
    finding: KeyFinding


def find_fleet_errors(
    options_by_file: Mapping[str, AnyOptions],
) -> Iterator[FileFinding]:
    """Yield what does not fit between the settings of one fleet."""
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
    """Yield key, scope and value of what no two processes may share."""
    yield 'instance_id', 'id', options.instance_id
    yield 'http_address', 'tcp', options.http_address
    if isinstance(options, BalancerOptions):
        for key in UDP_KEYS:
            yield key, 'udp', getattr(options, key)


def find_shared_values(
    options_by_file: Mapping[str, AnyOptions],
) -> Iterator[FileFinding]:
    """Yield ids and addresses that two processes have."""
    first_by_value: dict[tuple[str, str], tuple[str, str]] = {}
    for file, options in options_by_file.items():
        for key, scope, shown in exclusive_values(options):
            place = (file, key)
            first = first_by_value.setdefault((scope, shown), place)
            if first[0] != file:
                message = f'{shown!r} is also {first[1]} in {first[0]}'
                yield FileFinding(file, KeyFinding(key, message))


def find_group_differences(
    balancers: Mapping[str, BalancerOptions],
) -> Iterator[FileFinding]:
    """Yield groups that share a member but are not the same."""
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
    """Yield lists of replicas that are not the same."""
    lists = [(file, set(one.replicas)) for file, one in controls.items()]
    for file, replicas in lists[1:]:
        if replicas != lists[0][1]:
            message = f'differs from the replicas in {lists[0][0]}'
            yield FileFinding(file, KeyFinding('replicas', message))


def find_unknown_controls(
    balancers: Mapping[str, BalancerOptions],
    controls: Iterable[ControlOptions],
) -> Iterator[FileFinding]:
    """Yield control addresses at which no checked replica serves."""
    known = {options.http_address for options in controls}
    for options in controls:
        known.update(one.http_address for one in options.replicas)
    for file, balancer in balancers.items():
        for index, address in enumerate(balancer.control_addresses):
            if address not in known:
                message = f'no control replica serves at {address!r}'
                key = f'control_addresses[{index}]'
                yield FileFinding(file, KeyFinding(key, message))
