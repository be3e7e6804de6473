"""What a running fleet tells of itself."""

import argparse
from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from mustardhold.commands.fetching import Pages, fetch_each
from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    complain,
    say,
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
    """Read the status of a balancer or a control replica."""
    try:
        return msgspec.json.decode(raw, type=BalancerStatus)
    except msgspec.DecodeError:
        pass
    try:
        return msgspec.json.decode(raw, type=ControlStatus)
    except msgspec.DecodeError:
        return None


def version_of(status: AnyStatus) -> int:
    """Find the version of the table that a process has in force."""
    if isinstance(status, BalancerStatus):
        return status.table_version
    return status.table.version


def state_of(status: BalancerStatus) -> str:
    """Name a balancer's state in a word."""
    if status.is_stopping:
        return 'stopping'
    if status.lease_left is not None and status.lease_left <= 0:
        return 'no lease'
    return 'ready' if status.is_ready else 'no table'


def state_of_replica(status: ControlStatus) -> str:
    """Name a control replica's state in a few words."""
    if status.is_refused:
        return 'lost folder'
    if status.has_quorum:
        return f'leads term {status.term}'
    if status.leader_id is None:
        return 'no leader'
    return f'follows {status.leader_id}'


def rows_of_seen(known: list[AnyStatus], newest: int) -> Iterator[Row]:
    """Describe the balancers that only control replicas know of."""
    asked = {status.instance_id for status in known}
    latest: dict[str, BalancerPoll] = {}
    for status in known:
        if isinstance(status, ControlStatus):
            for name, seen in status.balancers.items():
                latest[name] = max(
                    seen, latest.get(name, seen), key=lambda one: one.seen_at
                )
    for name in sorted(set(latest) - asked):
        yield {
            'instance': name,
            'role': 'balancer',
            'state': 'polls',
            'version': latest[name].version,
            'lag': newest - latest[name].version,
        }


def row_of(status: AnyStatus, newest: int) -> Row:
    """Describe a process in a row of the overview."""
    version = version_of(status)
    row: Row = {
        'instance': status.instance_id,
        'role': 'control',
        'data centre': status.data_centre,
        'state': '',
        'version': version,
        'lag': newest - version,
    }
    if isinstance(status, ControlStatus):
        row['state'] = state_of_replica(status)
    else:
        states = Counter(str(one.state) for one in status.backends)
        row |= {
            'role': 'balancer',
            'state': state_of(status),
            'epoch': status.view_epoch,
            'members': len(status.members),
            'flows': status.flows,
            'servers ready': f'{states["ready"]} of {states.total()}',
        }
    return row


def lines_of(rows: Iterable[Row]) -> list[str]:
    """Align rows in columns, under their names."""
    texts = [[str(row.get(name, '')) for name in COLUMNS] for row in rows]
    table = [list(COLUMNS), *texts]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]


def run_status(arguments: argparse.Namespace) -> int:
    """Print an overview of the processes that were asked."""
    pages = fetch_each(arguments.at, '/status')
    statuses = read_statuses(pages)
    if arguments.json:
        shown = {address: one for address, one in statuses.items() if one}
        say(msgspec.json.format(msgspec.json.encode(shown)).decode())
    else:
        known = [one for one in statuses.values() if one is not None]
        newest = max(map(version_of, known), default=0)
        rows = [row_of(one, newest) for one in known]
        rows.extend(rows_of_seen(known, newest))
        for line in lines_of(rows):
            say(line)
    return EXIT_OK if all(statuses.values()) else EXIT_FAILED


def read_statuses(pages: Pages) -> dict[str, AnyStatus | None]:
    """Read each status; say which process did not answer."""
    statuses: dict[str, AnyStatus | None] = {}
    for address, page in pages.items():
        statuses[address] = None
        if isinstance(page, Ok):
            statuses[address] = decode_status(page.value)
            reason = 'is not a status'
        else:
            reason = page.error
        if statuses[address] is None:
            complain(f'{address}: {reason}')
    return statuses
