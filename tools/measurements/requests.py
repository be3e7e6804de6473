"""Requests under overload and faults: outcomes, latency, and bytes."""

import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from tools.fakes.callers import CallerRequest
from tools.fakes.event_queue import run_until
from tools.fakes.fleet import PRODUCT, Fleet, Logic, make_fleet
from tools.fakes.naive_requests import (
    make_blind_retry,
    make_shared_queue,
    make_timeout_not_run,
)
from tools.fakes.request_runs import (
    BALANCERS,
    Run,
    caller_requests,
    collect_run,
    count_executions,
    fault_sets,
    is_falsely_refused,
    run_requests,
)
from tools.fakes.servers import make_servers
from tools.fakes.traffic import FlowNumbers, Traffic, start_traffic
from tools.proofs.requests import TRAFFIC
from tools.registry import Cell, Measurement, Table

MS_PER_SECOND = 1000
SEED = 1
CALM_SECONDS = 15.0
OVERLOAD_SECONDS = 15.0
SETTLE_SECONDS = 5.0
SERVICE_SECONDS = 0.05
SILENT_AT = 5.0
OUTCOMES = ('answered', 'not-run', 'unknown', 'none')
PERCENT = 100
LATE_PERCENTILE = 98

BOOKINGS = Traffic(
    'werkstatt',
    openings_per_second=10,
    flow_seconds=20,
    upload_seconds=60,
    request_seconds=2,
    idempotent_share=0,
    requests_until=OVERLOAD_SECONDS,
)
FEEDS = replace(BOOKINGS, idempotent_share=1)
# Three servers with two slots of 50 ms take 120 requests a second.
FLOOD = Traffic(
    'katalog',
    openings_per_second=40,
    flow_seconds=20,
    upload_seconds=60,
    request_seconds=0.5,
    idempotent_share=1,
    requests_until=OVERLOAD_SECONDS,
)

MakeLogic = Callable[[], Logic]
COLUMNS = (
    'case',
    'version',
    'kind',
    'requests',
    *OUTCOMES,
    'p50 ms',
    'p99 ms',
    'run twice',
    'not run, but ran',
)


def make_product() -> Logic:
    """Make the product's own decisions."""
    return PRODUCT


def run_case(
    logic: Logic, traffics: Iterable[Traffic], silent: str = ''
) -> Fleet:
    """Run traffic; the servers of one pool may go silent on the way."""
    servers = (*make_servers('werkstatt', 7), *make_servers('katalog', 3))
    for server in servers:
        server.service_seconds = SERVICE_SECONDS
    fleet = make_fleet(SEED, logic, BALANCERS, servers)
    numbers = FlowNumbers()
    for traffic in traffics:
        start_traffic(fleet, traffic, OVERLOAD_SECONDS, numbers)
    run_until(fleet.queue, SILENT_AT)
    for server in servers:
        server.alive = server.pool != silent
    run_until(fleet.queue, OVERLOAD_SECONDS + SETTLE_SECONDS)
    return fleet


def kind_of(service: str, request: CallerRequest) -> str:
    """Name the service and the mark of a request."""
    mark = 'idempotent' if request.request.idempotent else 'booking'
    return f'{service} {mark}'


def summarise(requests: list[CallerRequest], run: Run) -> tuple[Cell, ...]:
    """Count the first outcomes, the latencies and what must not be."""
    outcomes = Counter(
        request.outcomes[0] if request.outcomes else 'none'
        for request in requests
    )
    waits = [
        (request.first_outcome_at - request.sent_at) * MS_PER_SECOND
        for request in requests
        if request.first_outcome_at is not None
        and request.outcomes[0] == 'answered'
    ]
    if len(waits) < 2:
        waits = [0, 0]
    percentiles = statistics.quantiles(waits, n=PERCENT)
    twice = sum(
        count_executions(run, request) > 1 and not request.request.idempotent
        for request in requests
    )
    false = sum(is_falsely_refused(run, request) for request in requests)
    counts = [outcomes[name] for name in OUTCOMES]
    middle = round(statistics.median(waits), 1)
    late = round(percentiles[LATE_PERCENTILE], 1)
    return len(requests), *counts, middle, late, *(twice, false)


def rows_of(
    case: str, version: str, fleet: Fleet
) -> Iterator[tuple[Cell, ...]]:
    """Yield a row for each kind of request of a run."""
    run = collect_run((), fleet)
    by_kind: dict[str, list[CallerRequest]] = {}
    for seen, request in caller_requests(fleet):
        by_kind.setdefault(kind_of(seen.service, request), []).append(request)
    for kind, requests in sorted(by_kind.items()):
        yield case, version, kind, *summarise(requests, run)


def fault_row(version: str, make: MakeLogic) -> tuple[Cell, ...]:
    """Sum up one run under each set of faults."""
    sets = len(fault_sets())
    requests: list[CallerRequest] = []
    total = Run((), make_fleet(SEED, PRODUCT, (), ()), Counter(), {})
    for seed in range(1, sets + 1):
        run = run_requests(seed, make(), TRAFFIC)
        requests.extend(request for _, request in caller_requests(run.fleet))
        total.runs_by_request.update(run.runs_by_request)
        total.run_times.update(run.run_times)
    cells = summarise(requests, total)
    return f'{sets} fault sets', version, 'both', *cells


def bytes_note(fleet: Fleet) -> Iterator[str]:
    """Say what the messages about requests cost."""
    total = sum(1 for _ in caller_requests(fleet))
    bookings = sum(
        not request.request.idempotent for _, request in caller_requests(fleet)
    )
    for kind, per in (('RequestChain', bookings), ('AnswerReport', total)):
        sent = sum(
            count
            for (_, name), count in fleet.bytes_by_message.items()
            if name == kind
        )
        rate = sent / len(BALANCERS) / OVERLOAD_SECONDS
        yield (
            f'calm run: {kind} {sent / per:.0f} bytes for each of {per} '
            f'requests, {rate:.0f} bytes a second for each balancer'
        )


def measure_requests() -> Table:
    """Measure ours beside naive versions in one run."""
    rows: list[tuple[Cell, ...]] = []
    calm = run_case(PRODUCT, (BOOKINGS, FEEDS))
    rows.extend(rows_of('calm', 'ours', calm))
    flood: dict[str, MakeLogic] = {
        'ours': make_product,
        'naive: one shared queue': make_shared_queue,
    }
    for version, make in flood.items():
        fleet = run_case(make(), (BOOKINGS, FEEDS, FLOOD))
        rows.extend(rows_of('katalog flood', version, fleet))
        silent = run_case(make(), (BOOKINGS, FEEDS, FLOOD), 'katalog')
        rows.extend(rows_of('katalog goes silent', version, silent))
    faults: dict[str, MakeLogic] = {
        'ours': make_product,
        'naive: blind retry': make_blind_retry,
        'naive: not run on timeout': make_timeout_not_run,
    }
    rows.extend(fault_row(version, make) for version, make in faults.items())
    notes = (
        f'seed {SEED} for calm and flood; one seed for each set of faults',
        'calm bookings pass three owners, idempotent requests one',
        *bytes_note(calm),
    )
    return Table(COLUMNS, rows, notes)


MEASUREMENTS = (
    Measurement(
        'requests',
        'outcomes of requests under overload and faults, ours and naive',
        measure_requests,
    ),
)
