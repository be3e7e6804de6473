"""Measures outcomes, latency and message sizes of requests under faults."""

import itertools
import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from tools.fakes.callers import CallerRequest
from tools.fakes.event_queue import run_until
from tools.fakes.fleet import PRODUCT, Fleet, Logic, make_fleet
from tools.fakes.hedging_runs import POLICY, HedgingResult, run_slow_servers
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
UNRESPONSIVE_AT = 5.0
OUTCOMES = ('answered', 'not-run', 'unknown', 'none')
PERCENT = 100
LATE_PERCENTILE = 98

NON_IDEMPOTENT_TRAFFIC = Traffic(
    'werkstatt',
    openings_per_second=10,
    flow_seconds=20,
    upload_seconds=60,
    request_seconds=2,
    idempotent_share=0,
    requests_until=OVERLOAD_SECONDS,
)
IDEMPOTENT_TRAFFIC = replace(NON_IDEMPOTENT_TRAFFIC, idempotent_share=1)
# Three servers with two slots and 50 ms per request handle 120 requests/s.
OVERLOAD_TRAFFIC = Traffic(
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
    """Return the logic of the product."""
    return PRODUCT


def run_case(
    logic: Logic, traffics: Iterable[Traffic], unresponsive_pool: str = ''
) -> Fleet:
    """Run traffic; the servers of one pool may become unresponsive."""
    servers = (*make_servers('werkstatt', 7), *make_servers('katalog', 3))
    for server in servers:
        server.service_seconds = SERVICE_SECONDS
    fleet = make_fleet(SEED, logic, BALANCERS, servers)
    numbers = FlowNumbers()
    for traffic in traffics:
        start_traffic(fleet, traffic, OVERLOAD_SECONDS, numbers)
    run_until(fleet.queue, UNRESPONSIVE_AT)
    for server in servers:
        server.alive = server.pool != unresponsive_pool
    run_until(fleet.queue, OVERLOAD_SECONDS + SETTLE_SECONDS)
    return fleet


def format_kind(service: str, request: CallerRequest) -> str:
    """Return the service and kind of a request."""
    mark = 'idempotent' if request.request.idempotent else 'booking'
    return f'{service} {mark}'


def summarise_requests(
    requests: list[CallerRequest], run: Run
) -> tuple[Cell, ...]:
    """Count first outcomes and violations; compute latencies of answers."""
    outcomes = Counter(
        request.outcomes[0] if request.outcomes else 'none'
        for request in requests
    )
    latencies = [
        (request.first_outcome_at - request.sent_at) * MS_PER_SECOND
        for request in requests
        if request.first_outcome_at is not None
        and request.outcomes[0] == 'answered'
    ]
    if len(latencies) < 2:
        latencies = [0, 0]
    percentiles = statistics.quantiles(latencies, n=PERCENT)
    run_twice = sum(
        count_executions(run, request) > 1 and not request.request.idempotent
        for request in requests
    )
    wrongly_refused = sum(
        is_falsely_refused(run, request) for request in requests
    )
    counts = [outcomes[name] for name in OUTCOMES]
    median_ms = round(statistics.median(latencies), 1)
    p99_ms = round(percentiles[LATE_PERCENTILE], 1)
    return (
        len(requests),
        *counts,
        median_ms,
        p99_ms,
        *(run_twice, wrongly_refused),
    )


def make_rows(
    case: str, version: str, fleet: Fleet
) -> Iterator[tuple[Cell, ...]]:
    """Yield a row for each kind of request in a run."""
    run = collect_run((), fleet)
    by_kind: dict[str, list[CallerRequest]] = {}
    for flow, request in caller_requests(fleet):
        by_kind.setdefault(format_kind(flow.service, request), []).append(
            request
        )
    for kind, requests in sorted(by_kind.items()):
        yield case, version, kind, *summarise_requests(requests, run)


def fault_row(version: str, make: MakeLogic) -> tuple[Cell, ...]:
    """Summarise one run under each set of faults in a single row."""
    sets = len(fault_sets())
    requests: list[CallerRequest] = []
    total = Run((), make_fleet(SEED, PRODUCT, (), ()), Counter(), {})
    for seed in range(1, sets + 1):
        run = run_requests(seed, make(), TRAFFIC)
        requests.extend(request for _, request in caller_requests(run.fleet))
        total.runs_by_request.update(run.runs_by_request)
        total.run_times.update(run.run_times)
    cells = summarise_requests(requests, total)
    return f'{sets} fault sets', version, 'both', *cells


def message_size_notes(fleet: Fleet) -> Iterator[str]:
    """Yield notes on the sizes and rates of messages about requests."""
    total = sum(1 for _ in caller_requests(fleet))
    non_idempotent_count = sum(
        not request.request.idempotent for _, request in caller_requests(fleet)
    )
    for kind, number in (
        ('RequestChain', non_idempotent_count),
        ('AnswerReport', total),
    ):
        sent = sum(
            count
            for (_, name), count in fleet.bytes_by_message.items()
            if name == kind
        )
        rate = sent / len(BALANCERS) / OVERLOAD_SECONDS
        yield (
            f'calm run: {kind} {sent / number:.0f} bytes for each of {number} '
            f'requests, {rate:.0f} bytes a second for each balancer'
        )


def hedging_note(version: str, run: HedgingResult) -> str:
    """Describe latencies and extra work of a run with slow servers."""
    shown = ', '.join(
        f'p{name} {run.percentile(share) * MS_PER_SECOND:.1f}'
        for name, share in (('50', 0.5), ('99', 0.99), ('99.9', 0.999))
    )
    requests = sum(1 for _ in caller_requests(run.fleet))
    sent = sum(run.fleet.bytes_by_message.values())
    return (
        f'slow servers, {version}: idempotent, in ms from when they are slow: '
        f'{shown}; {run.runs} runs for {requests} requests in all; copies '
        f'{run.count("hedged")}, won {run.count("hedge-won")}, lost '
        f'{run.count("hedge-lost")}; retries {run.count("retried")}; {sent} '
        'bytes between balancers'
    )


def flood_rows() -> Iterator[tuple[Cell, ...]]:
    """Yield rows of a service that is flooded, and of one that goes silent."""
    flood: dict[str, MakeLogic] = {
        'ours': make_product,
        'naive: one shared queue': make_shared_queue,
    }
    traffics = (NON_IDEMPOTENT_TRAFFIC, IDEMPOTENT_TRAFFIC, OVERLOAD_TRAFFIC)
    for version, make in flood.items():
        fleet = run_case(make(), traffics)
        yield from make_rows('katalog flood', version, fleet)
        unresponsive = run_case(make(), traffics, 'katalog')
        yield from make_rows('katalog goes silent', version, unresponsive)


def measure_requests() -> Table:
    """Measure the product and the naive versions."""
    rows: list[tuple[Cell, ...]] = []
    calm = run_case(PRODUCT, (NON_IDEMPOTENT_TRAFFIC, IDEMPOTENT_TRAFFIC))
    rows.extend(make_rows('calm', 'ours', calm))
    rows.extend(flood_rows())
    slow = {
        f'hedging {name}': run_slow_servers(SEED, policy)
        for name, policy in (('off', None), ('on', POLICY))
    }
    for name, run in slow.items():
        rows.extend(make_rows('slow servers', name, run.fleet))
    faults: dict[str, MakeLogic] = {
        'ours': make_product,
        'naive: blind retry': make_blind_retry,
        'naive: not run on timeout': make_timeout_not_run,
    }
    rows.extend(fault_row(name, make) for name, make in faults.items())
    notes = (
        *itertools.starmap(hedging_note, slow.items()),
        f'seed {SEED} for calm and flood; one seed for each set of faults',
        'calm bookings pass three owners, idempotent requests one',
        *message_size_notes(calm),
    )
    return Table(COLUMNS, rows, notes)


MEASUREMENTS = (
    Measurement(
        'requests',
        'outcomes of requests under overload and faults, ours and naive',
        measure_requests,
    ),
)
