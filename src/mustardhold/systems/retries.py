"""Retries of idempotent requests: budget, and backoff with jitter."""

import math

import xxhash

from mustardhold.systems.request_records import add_timer, outcome_due_at
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    MAX_RETRY_TOKENS,
    RETRIES_PER_SUCCESS,
    RETRY_BASE_DELAY,
)
from mustardhold.tables.requests import RequestRecord, TimerKind

JITTER_STEPS = 1024


def credit_retry_budget(tables: BalancerTables, service: str) -> None:
    """Add ``RETRIES_PER_SUCCESS`` to a service's retry budget."""
    tokens_by_service = tables.requests.retry_tokens_by_service
    tokens = tokens_by_service.get(service, MAX_RETRY_TOKENS)
    tokens_by_service[service] = min(
        tokens + RETRIES_PER_SUCCESS, MAX_RETRY_TOKENS
    )


def spend_retry_token(tables: BalancerTables, service: str) -> bool:
    """Spend a token of a service's retry budget, if one is left."""
    tokens_by_service = tables.requests.retry_tokens_by_service
    tokens = tokens_by_service.get(service, MAX_RETRY_TOKENS)
    if tokens < 1:
        tables.counters[service, 'retry-budget-empty'] += 1
        return False
    tokens_by_service[service] = tokens - 1
    return True


def backoff_seconds(key: bytes, forwards: int) -> float:
    """Return a delay that doubles per attempt, with jitter from the key."""
    longest = math.ldexp(RETRY_BASE_DELAY.total_seconds(), forwards - 1)
    number = xxhash.xxh3_64_intdigest(key, seed=forwards) % JITTER_STEPS
    return longest * (1 + number / JITTER_STEPS) / 2


def schedule_retry(
    tables: BalancerTables, now: float, key: bytes, record: RequestRecord
) -> None:
    """Schedule the next attempt if it falls before the outcome is due."""
    due = now + backoff_seconds(key, record.forwards)
    if due < outcome_due_at(record):
        add_timer(tables, due, key, TimerKind.RETRY)
