"""The table and the promises at the end of a demo."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from tools.demo_traffic import Session

LEAST_COLUMNS = ('answered', 'not-run', 'unknown')
IN_FORCE_SECONDS = 5.0


class Report(msgspec.Struct):
    """What a backend server saw, as it prints it when it stops."""

    foreign_packets: int
    runs_by_request: dict[str, int]


@dataclass(frozen=True, slots=True)
class Endings:
    """How the run ended.

    Attributes
    ----------
    ending_by_process
        Exit code and output of each process.
    in_force_seconds
        Time until the live edit was in force on every balancer.
    """

    ending_by_process: Mapping[str, tuple[int, str]]
    in_force_seconds: float


def imbalance(sessions: Iterable[Session], hosts: int) -> float:
    """Most flows on one host over the mean of all hosts."""
    counts = Counter(
        backend_id for session in sessions for backend_id in session.backend_ids
    )
    mean = counts.total() / hosts
    return max(counts.values()) / mean if counts else 0


def table_rows(
    sessions: list[Session], hosts_by_service: Mapping[str, int]
) -> list[tuple[str, ...]]:
    """Make the table of outcomes by service, its header first."""
    seen = {name for session in sessions for name in session.outcomes}
    columns = (*LEAST_COLUMNS, *sorted(seen - set(LEAST_COLUMNS)))
    rows = [('service', 'hosts', 'flows', *columns, 'broken', 'imbalance')]
    for service, hosts in hosts_by_service.items():
        own = [one for one in sessions if one.service == service]
        counts = [
            str(sum(one.outcomes[name] for one in own)) for name in columns
        ]
        rows.append(
            (service, str(hosts), str(len(own)), *counts, *faults(own, hosts))
        )
    return rows


def faults(sessions: list[Session], hosts: int) -> tuple[str, str]:
    """Show the broken flows, and the imbalance before the pool was edited."""
    broken = sum(one.is_broken for one in sessions)
    first = [one for one in sessions if one.wave == 1]
    return str(broken), f'{imbalance(first, hosts):.2f}'


def read_reports(endings: Endings) -> list[Report]:
    """Read what the backend servers printed when they stopped."""
    return [
        msgspec.json.decode(output.splitlines()[-1], type=Report)
        for _, output in endings.ending_by_process.values()
        if output.strip()
    ]


def count_breaches(
    sessions: list[Session], endings: Endings, drained: str
) -> dict[str, int]:
    """Count what was seen against each promise."""
    reports = read_reports(endings)
    runs: Counter[str] = Counter()
    for report in reports:
        runs.update(report.runs_by_request)
    repeatable = {one for session in sessions for one in session.idempotent_ids}
    not_run = {one for session in sessions for one in session.not_run}
    codes = [
        code
        for name, (code, _) in endings.ending_by_process.items()
        if name != 'fabric'
    ]
    return {
        'a session survives planned changes': sum(
            session.is_broken for session in sessions
        ),
        'a packet never reaches another service': sum(
            report.foreign_packets for report in reports
        ),
        'every request gets its own whole answer': sum(
            session.wrong_answers + session.unanswered for session in sessions
        ),
        'what is refused as not run was not run': len(not_run & set(runs)),
        'a booking runs at most once': sum(
            count > 1 and request_id not in repeatable
            for request_id, count in runs.items()
        ),
        'a server that is leaving gets no new work': sum(
            drained in session.backend_ids
            for session in sessions
            if session.wave > 1
        ),
        'an edit is in force within seconds': int(
            endings.in_force_seconds > IN_FORCE_SECONDS
        ),
        'every planned stop is graceful': sum(code != 0 for code in codes),
    }


def print_columns(rows: list[tuple[str, ...]]) -> None:
    """Print rows with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        print('  ', '  '.join(text.ljust(width) for text, width in cells))


def print_breaches(breaches: Mapping[str, int]) -> bool:
    """Print each promise; tell whether all were kept."""
    for promise, count in breaches.items():
        verdict = 'held' if count == 0 else f'BROKEN {count} times'
        print(f'   {promise:<42}{verdict}')
    return not any(breaches.values())
