"""Summary of a demo: the table of outcomes and the checked promises."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from tools.demo_traffic import Session

FIXED_COLUMNS = ('answered', 'not-run', 'unknown')
MAX_INSTALL_SECONDS = 5.0


class Report(msgspec.Struct):
    """Counts that a backend server prints when it stops."""

    foreign_packets: int
    runs_by_request: dict[str, int]


@dataclass(frozen=True, slots=True)
class RunEnd:
    """Exits of the processes, and the delay of the live edit.

    Attributes
    ----------
    exit_by_process
        Exit code and output of each process.
    installed_seconds
        Time from the drain edit until every balancer had it.
    """

    exit_by_process: Mapping[str, tuple[int, str]]
    installed_seconds: float


def imbalance(sessions: Iterable[Session], hosts: int) -> float:
    """Return the maximum of flows per host divided by their mean."""
    counts = Counter(
        backend_id for session in sessions for backend_id in session.backend_ids
    )
    mean = counts.total() / hosts
    return max(counts.values()) / mean if counts else 0


def table_rows(
    sessions: list[Session], hosts_by_service: Mapping[str, int]
) -> list[tuple[str, ...]]:
    """Return the table of outcomes by service, with its header."""
    observed = {name for session in sessions for name in session.outcomes}
    columns = (*FIXED_COLUMNS, *sorted(observed - set(FIXED_COLUMNS)))
    rows = [('service', 'hosts', 'flows', *columns, 'broken', 'imbalance')]
    for service, hosts in hosts_by_service.items():
        service_sessions = [one for one in sessions if one.service == service]
        counts = [
            str(sum(one.outcomes[name] for one in service_sessions))
            for name in columns
        ]
        rows.append(
            (
                service,
                str(hosts),
                str(len(service_sessions)),
                *counts,
                *format_broken_and_imbalance(service_sessions, hosts),
            )
        )
    return rows


def format_broken_and_imbalance(
    sessions: list[Session], hosts: int
) -> tuple[str, str]:
    """Format the broken flows, and the imbalance before the pool was edited."""
    broken = sum(one.is_broken for one in sessions)
    first = [one for one in sessions if one.wave == 1]
    return str(broken), f'{imbalance(first, hosts):.2f}'


def read_reports(run_end: RunEnd) -> list[Report]:
    """Parse the reports that the backend servers printed on exit."""
    return [
        msgspec.json.decode(output.splitlines()[-1], type=Report)
        for _, output in run_end.exit_by_process.values()
        if output.strip()
    ]


def count_violations(
    sessions: list[Session], run_end: RunEnd, drained: str
) -> dict[str, int]:
    """Count the violations of each promise."""
    reports = read_reports(run_end)
    runs: Counter[str] = Counter()
    for report in reports:
        runs.update(report.runs_by_request)
    repeatable = {one for session in sessions for one in session.idempotent_ids}
    not_run = {one for session in sessions for one in session.not_run}
    codes = [
        code
        for name, (code, _) in run_end.exit_by_process.items()
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
            run_end.installed_seconds > MAX_INSTALL_SECONDS
        ),
        'every planned stop is graceful': sum(code != 0 for code in codes),
    }


def print_columns(rows: list[tuple[str, ...]]) -> None:
    """Print rows with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        print('  ', '  '.join(text.ljust(width) for text, width in cells))


def print_violations(violations: Mapping[str, int]) -> bool:
    """Print the result of each promise; return whether all held."""
    for promise, count in violations.items():
        verdict = 'held' if count == 0 else f'BROKEN {count} times'
        print(f'   {promise:<42}{verdict}')
    return not any(violations.values())
