"""The ``status`` command: an overview of a running fleet."""

import argparse
from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from mustardhold.commands.fetching import Responses, fetch_all
from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    print_error,
    print_line,
)
from mustardhold.tables.outcomes import Ok
from mustardhold.tables.status import (
    BalancerPoll,
    BalancerStatus,
    ControlStatus,
)

AnyStatus = BalancerStatus | ControlStatus
COLUMNS = (
    'instance',
    'role',
    'data centre',
    'state',
    'version',
    'lag',
    'epoch',
    'members',
    'flows',
    'servers ready',
)
Row = dict[str, object]


def decode_status(raw: bytes) -> AnyStatus | None:
    """Decode the status of a balancer or a control replica."""
    try:
        return msgspec.json.decode(raw, type=BalancerStatus)
    except msgspec.DecodeError:
        pass
    try:
        return msgspec.json.decode(raw, type=ControlStatus)
    except msgspec.DecodeError:
        return None


def version_of(status: AnyStatus) -> int:
    """Return the version of a process's current table."""
    if isinstance(status, BalancerStatus):
        return status.table_version
    return status.table.version


def balancer_state(status: BalancerStatus) -> str:
    """Return a short description of a balancer's state."""
    if status.is_stopping:
        return 'stopping'
    if status.lease_left is not None and status.lease_left <= 0:
        return 'no lease'
    return 'ready' if status.is_ready else 'no table'


def replica_state(status: ControlStatus) -> str:
    """Return a short description of a control replica's state."""
    if status.is_refused:
        return 'lost folder'
    if status.has_quorum:
        return f'leads term {status.term}'
    if status.leader_id is None:
        return 'no leader'
    return f'follows {status.leader_id}'


def make_polled_rows(
    statuses: list[AnyStatus], newest_version: int
) -> Iterator[Row]:
    """Return rows for balancers that were not queried.

    Their table versions come from their latest polls of the control replicas.
    """
    queried = {status.instance_id for status in statuses}
    latest: dict[str, BalancerPoll] = {}
    for status in statuses:
        if isinstance(status, ControlStatus):
            for name, poll in status.balancers.items():
                latest[name] = max(
                    poll, latest.get(name, poll), key=lambda one: one.seen_at
                )
    for name in sorted(set(latest) - queried):
        yield {
            'instance': name,
            'role': 'balancer',
            'state': 'polls',
            'version': latest[name].version,
            'lag': newest_version - latest[name].version,
        }


def make_row(status: AnyStatus, newest_version: int) -> Row:
    """Return the row of a queried process."""
    version = version_of(status)
    row: Row = {
        'instance': status.instance_id,
        'role': 'control',
        'data centre': status.data_centre,
        'state': '',
        'version': version,
        'lag': newest_version - version,
    }
    if isinstance(status, ControlStatus):
        row['state'] = replica_state(status)
    else:
        states = Counter(str(one.state) for one in status.backends)
        row |= {
            'role': 'balancer',
            'state': balancer_state(status),
            'epoch': status.view_epoch,
            'members': len(status.members),
            'flows': status.flows,
            'servers ready': f'{states["ready"]} of {states.total()}',
        }
    return row


def format_table(rows: Iterable[Row]) -> list[str]:
    """Format rows as aligned columns with a header."""
    cells = [[str(row.get(name, '')) for name in COLUMNS] for row in rows]
    table = [list(COLUMNS), *cells]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]


def run_status(arguments: argparse.Namespace) -> int:
    """Run the ``status`` command and print an overview of the fleet."""
    responses = fetch_all(arguments.at, '/status')
    statuses = read_statuses(responses)
    if arguments.json:
        shown = {address: one for address, one in statuses.items() if one}
        print_line(msgspec.json.format(msgspec.json.encode(shown)).decode())
    else:
        known = [one for one in statuses.values() if one is not None]
        newest_version = max(map(version_of, known), default=0)
        rows = [make_row(one, newest_version) for one in known]
        rows.extend(make_polled_rows(known, newest_version))
        for line in format_table(rows):
            print_line(line)
    return EXIT_OK if all(statuses.values()) else EXIT_FAILED


def read_statuses(responses: Responses) -> dict[str, AnyStatus | None]:
    """Decode each status; print an error for each invalid or missing one."""
    statuses: dict[str, AnyStatus | None] = {}
    for address, response in responses.items():
        statuses[address] = None
        if isinstance(response, Ok):
            statuses[address] = decode_status(response.value)
            reason = 'response is not a valid status'
        else:
            reason = response.error
        if statuses[address] is None:
            print_error(f'{address}: {reason}')
    return statuses
