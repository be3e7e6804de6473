"""Decides whether, when and where a second copy of a request is sent."""

import heapq
import math
from collections.abc import Iterator

from mustardhold.systems.admission import (
    has_free_slot,
    has_waiting,
    window_for,
)
from mustardhold.systems.health import is_ejected
from mustardhold.systems.routing import eligible_servers
from mustardhold.systems.server_selection import flow_hash
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    HEDGE_BURST_REQUESTS,
    HEDGE_PERCENTILE,
    HEDGE_RESORT_SAMPLES,
    MAX_RETRY_TOKENS,
    MIN_HEDGE_SAMPLES,
)
from mustardhold.tables.hedging import HedgingOptions, LatencySamples
from mustardhold.tables.requests import RequestRecord, RequestState


def policy_for(
    tables: BalancerTables, record: RequestRecord
) -> HedgingOptions | None:
    """Return the settings if they apply to a request."""
    policy = tables.hedging.policy
    if policy is None or not record.idempotent:
        return None
    return policy if record.service in policy.services else None


def record_latency(
    tables: BalancerTables, now: float, record: RequestRecord
) -> None:
    """Add the time to the first part of an answer to those of its service.

    If the copy was faster, the time until then is a lower bound of the first
    copy's time. Without it, hedging would lower the percentile that it waits
    for.
    """
    if policy_for(tables, record) is None or record.forwards != 1:
        return
    latencies = tables.hedging.latencies_by_service.setdefault(
        record.service, LatencySamples()
    )
    latencies.samples.append(now - record.sent_at)
    latencies.samples_since_percentile += 1
    count = len(latencies.samples)
    is_due = latencies.samples_since_percentile >= HEDGE_RESORT_SAMPLES
    if count >= MIN_HEDGE_SAMPLES and is_due:
        latencies.samples_since_percentile = 0
        rank = math.ceil(count * HEDGE_PERCENTILE) - 1
        latencies.percentile = sorted(latencies.samples)[rank]


def hedge_delay(tables: BalancerTables, record: RequestRecord) -> float | None:
    """Return how long a request waits for its copy; None to send none."""
    policy = policy_for(tables, record)
    latencies = tables.hedging.latencies_by_service.get(record.service)
    if policy is None or latencies is None or latencies.percentile is None:
        return None
    return max(latencies.percentile, policy.least_delay.total_seconds())


def credit_and_schedule_hedge(
    tables: BalancerTables, now: float, key: bytes, record: RequestRecord
) -> None:
    """Credit the budget for a request, and schedule its copy."""
    policy = policy_for(tables, record)
    if policy is None:
        return
    tokens = tables.hedging.tokens_by_service.get(record.service, 0)
    limit = max(policy.share * HEDGE_BURST_REQUESTS, 1)
    tables.hedging.tokens_by_service[record.service] = min(
        tokens + policy.share, limit
    )
    schedule_hedge(tables, now, key, record)


def schedule_hedge(
    tables: BalancerTables, now: float, key: bytes, record: RequestRecord
) -> None:
    """Schedule the copy of a request for when it is slower than most."""
    delay = hedge_delay(tables, record)
    if delay is None or record.is_hedged:
        return
    due = record.sent_at + delay
    if now < due < record.deadline_at:
        heapq.heappush(tables.hedging.timers, (due, key))


def spend_token(tables: BalancerTables, service: str) -> None:
    """Take one copy from the budget of a service."""
    tables.hedging.tokens_by_service[service] -= 1


def reason_against_copy(
    tables: BalancerTables, now: float, record: RequestRecord
) -> str:
    """Return why a request that is due gets no copy; empty if it may."""
    if record.parts_seen or record.state is not RequestState.SENT:
        return 'answered'
    if tables.is_stopping:
        return 'draining'
    if is_overloaded(tables, record):
        return 'overloaded'
    if all(
        server.announced.backend_id != record.backend_id
        for server in open_servers(tables, record.service)
    ):
        return 'draining'
    if tables.hedging.tokens_by_service.get(record.service, 0) < 1:
        return 'budget'
    return ''


def is_overloaded(tables: BalancerTables, record: RequestRecord) -> bool:
    """Return whether a service has no capacity left for copies.

    That is if requests wait for a slot, or if so many were not answered that
    they are not retried any more.
    """
    requests = tables.requests
    retries = requests.retry_tokens_by_service.get(
        record.service, MAX_RETRY_TOKENS
    )
    is_waiting = requests.waiting_by_service[record.service] > 0
    return is_waiting or retries < 1 or record.sheds > 0


def open_servers(
    tables: BalancerTables, service: str
) -> Iterator[KnownBackend]:
    """Yield the servers of a service that are not draining."""
    pool = tables.routing.pools_by_name.get(service)
    if pool is None:
        return
    for server in eligible_servers(tables, pool):
        if not server.is_closed:
            yield server


def choose_target(
    tables: BalancerTables, now: float, record: RequestRecord
) -> KnownBackend | None:
    """Choose the server that will probably answer a copy first.

    It is another one than that of the flow, is not suspect and has a free
    slot. Servers without a known response time count as slow ones, since they
    may never have answered.
    """
    unknown_seconds = hedge_delay(tables, record) or 0

    def rank(server: KnownBackend) -> tuple[bool, float, int]:
        window = window_for(tables, server.announced.backend_id)
        seconds = window.response_seconds or unknown_seconds
        return (
            not server.is_local,
            seconds * (window.in_flight + 1),
            flow_hash(record.flow, server),
        )

    candidates = [
        server
        for server in open_servers(tables, record.service)
        if server.announced.backend_id != record.backend_id
        and not is_ejected(server, now)
        and may_take_copy(tables, server)
    ]
    return min(candidates, key=rank, default=None)


def may_take_copy(tables: BalancerTables, server: KnownBackend) -> bool:
    """Return whether a server has a free slot that no request waits for."""
    window = window_for(tables, server.announced.backend_id)
    return has_free_slot(window) and not has_waiting(window)
