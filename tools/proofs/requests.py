"""Requests under faults: at-most-once execution and correct outcomes."""

from collections.abc import Iterator
from datetime import timedelta

from mustardhold.tables.hedging import HedgingOptions
from tools.fakes.fleet import PRODUCT, Logic
from tools.fakes.naive_requests import (
    make_answers_by_id,
    make_blind_retry,
    make_timeout_not_run,
)
from tools.fakes.request_runs import (
    Run,
    caller_requests,
    count_executions,
    is_falsely_refused,
    run_requests,
)
from tools.fakes.traffic import Traffic
from tools.registry import Proof, Violation

REQUESTS_UNTIL = 30.0
CI_SEEDS = 4
TRAFFIC = Traffic(
    'werkstatt',
    openings_per_second=2.5,
    flow_seconds=10,
    upload_seconds=60,
    request_seconds=0.5,
    resend_seconds=0.5,
    late_resends=0.2,
    cancels=0.02,
    requests_until=REQUESTS_UNTIL,
)
COLLIDING_ID_TRAFFIC = Traffic(
    'werkstatt',
    openings_per_second=4,
    flow_seconds=10,
    upload_seconds=60,
    request_seconds=0.25,
    request_ids=64,
    requests_until=REQUESTS_UNTIL,
)
EAGER_HEDGING = HedgingOptions(1, timedelta(milliseconds=1), ('werkstatt',))
LOSSLESS_FAULTS = frozenset(('shed', 'slow', 'delays', 'repeats'))
MS_PER_SECOND = 1000
# Network hops from the caller to the last owner and back; transit time does
# not count towards the deadline.
HOPS = 5


def describe(run: Run, request_id: bytes) -> str:
    """Describe a request by its id and the faults of the run."""
    return f'request {request_id.hex()} under {" and ".join(run.faults)}'


def run_at_most_once(seed: int, *, naive: bool) -> list[Violation]:
    """Check that no non-idempotent request runs twice; naive: blind retry."""
    logic = make_blind_retry() if naive else PRODUCT
    run = run_requests(seed, logic, TRAFFIC)
    return list(find_repeated_runs(run))[:1]


def find_repeated_runs(run: Run) -> Iterator[Violation]:
    """Yield a violation for each non-idempotent request that ran twice."""
    for _, request in caller_requests(run.fleet):
        runs = count_executions(run, request)
        if runs > 1 and not request.request.idempotent:
            name = describe(run, request.request.request_id)
            yield Violation(
                'a non-idempotent request runs at most once',
                f'{name} ran {runs} times',
            )


def run_hedged_once(seed: int, *, naive: bool) -> list[Violation]:
    """Check the same while copies are sent; naive: blind retry."""
    logic = make_blind_retry() if naive else PRODUCT
    run = run_requests(seed, logic, TRAFFIC, EAGER_HEDGING)
    return list(find_repeated_runs(run))[:1]


def run_hedged_answers(seed: int, *, naive: bool) -> list[Violation]:
    """Check that answers reach the right caller while copies are sent."""
    logic: Logic = make_answers_by_id() if naive else PRODUCT
    run = run_requests(seed, logic, COLLIDING_ID_TRAFFIC, EAGER_HEDGING)
    return list(find_wrong_answers(run))[:1]


def run_not_run(seed: int, *, naive: bool) -> list[Violation]:
    """Check that requests reported as not run did not run."""
    logic = make_timeout_not_run() if naive else PRODUCT
    run = run_requests(seed, logic, TRAFFIC)
    return list(find_false_refusals(run))[:1]


def find_false_refusals(run: Run) -> Iterator[Violation]:
    """Yield a violation for each request reported as not run that did run."""
    for _, request in caller_requests(run.fleet):
        if is_falsely_refused(run, request):
            name = describe(run, request.request.request_id)
            yield Violation(
                'what is refused as not run was not run',
                f'{name} was told {request.outcomes}',
            )


def run_whole_answer(seed: int, *, naive: bool) -> list[Violation]:
    """Check that answers are complete and reach the right caller."""
    logic: Logic = make_answers_by_id() if naive else PRODUCT
    run = run_requests(seed, logic, COLLIDING_ID_TRAFFIC)
    return list(find_wrong_answers(run))[:1]


def find_wrong_answers(run: Run) -> Iterator[Violation]:
    """Yield a violation for each wrong or incomplete answer.

    Incomplete answers count only under faults that lose no packets.
    """
    answered: set[bytes] = set()
    for server in run.fleet.servers_by_id.values():
        answered |= server.answered
    for caller_flow, request in caller_requests(run.fleet):
        packet = request.request
        name = describe(run, packet.request_id)
        promise = 'a caller gets the whole answer to its own request'
        if request.foreign_answers:
            yield Violation(promise, f'{name} got parts of another answer')
        is_sent = caller_flow.flow + packet.request_id in answered
        is_whole = 'answered' in request.outcomes
        if is_sent and not is_whole and LOSSLESS_FAULTS.issuperset(run.faults):
            yield Violation(promise, f'{name} got {len(request.parts)} parts')


def run_one_outcome(seed: int, *, naive: bool) -> list[Violation]:
    """Check that each request has an outcome by its deadline.

    Only runs whose faults lose no packets are checked.
    """
    logic = make_answers_by_id() if naive else PRODUCT
    run = run_requests(seed, logic, TRAFFIC)
    if not LOSSLESS_FAULTS.issuperset(run.faults):
        return []
    return list(find_missing_outcomes(run))[:1]


def find_missing_outcomes(run: Run) -> Iterator[Violation]:
    """Yield a violation for each request without an outcome in time."""
    slack = HOPS * run.fleet.network.max_delay
    for _, request in caller_requests(run.fleet):
        packet = request.request
        limit = request.sent_at + packet.deadline_ms / MS_PER_SECOND
        outcome_at = request.first_outcome_at
        if outcome_at is None or outcome_at > limit + slack:
            yield Violation(
                'each request has an outcome by its deadline',
                f'{describe(run, packet.request_id)}, sent at '
                f'{request.sent_at:.3f} s, was told at {outcome_at}',
            )


PROOFS = (
    Proof(
        'at-most-once',
        'a non-idempotent request runs at most once across all balancers',
        run_at_most_once,
        ci_seeds=CI_SEEDS,
    ),
    Proof(
        'hedged-once',
        'a non-idempotent request runs at most once where others are hedged',
        run_hedged_once,
        ci_seeds=CI_SEEDS,
    ),
    Proof(
        'hedged-answers',
        'no caller gets an answer of another one where requests are hedged',
        run_hedged_answers,
        ci_seeds=CI_SEEDS,
    ),
    Proof(
        'not-run',
        'a request that is refused as not run was not run',
        run_not_run,
        ci_seeds=CI_SEEDS,
    ),
    Proof(
        'whole-answer',
        'a caller gets the whole answer to its own request',
        run_whole_answer,
        ci_seeds=CI_SEEDS,
    ),
    Proof(
        'one-outcome',
        'each request has an outcome by its deadline',
        run_one_outcome,
        ci_seeds=CI_SEEDS,
    ),
)
