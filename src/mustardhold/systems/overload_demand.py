"""Shares a limited rate of openings among classes and callers.

The load is that of many callers behind one service, of which some
are more important and some ask far more than others. The most important class
gets all it asks; the class for which the rate does not suffice is divided
among its callers, each up to the same count, so that those that ask most are
refused most.
"""

import math
from collections.abc import Iterable

from mustardhold.tables.overload import (
    MAX_COUNTED_CALLERS,
    ClassDemand,
    DecayedCount,
    Opening,
    ServiceLoad,
)

# A balancer sees some ten openings a second, so a class needs some seconds to
# be told from chance, and a caller more.
CLASS_MEMORY_SECONDS = 3.0
CALLER_MEMORY_SECONDS = 10.0
EXPIRED_COUNT = 0.05
MIN_COUNTED_SECONDS = 0.5


def amount_at(count: DecayedCount, now: float, memory: float) -> float:
    """Return a count as of now."""
    return count.amount * math.exp(min(count.counted_at - now, 0) / memory)


def add_one(count: DecayedCount, now: float, memory: float) -> None:
    """Count one more."""
    count.amount = amount_at(count, now, memory) + 1
    count.counted_at = now


def count_opening(load: ServiceLoad, now: float, opening: Opening) -> None:
    """Count an opening for its class and caller, admitted or not.

    What a refused caller opens again counts like all else, so that retries
    only lower that caller's share.
    """
    demand = load.demand_by_class.get(opening.opening_class)
    if demand is None:
        expire_classes(load, now)
        demand = ClassDemand(now)
        load.demand_by_class[opening.opening_class] = demand
    add_one(demand.openings, now, CLASS_MEMORY_SECONDS)
    counts = demand.counts_by_caller
    count = counts.get(opening.caller)
    if count is None:
        expire_callers(demand, now)
        count = DecayedCount()
        counts[opening.caller] = count
    counts.move_to_end(opening.caller)
    add_one(count, now, CALLER_MEMORY_SECONDS)


def expire_classes(load: ServiceLoad, now: float) -> None:
    """Remove classes without openings, as those of an old configuration."""
    for opening_class, demand in tuple(load.demand_by_class.items()):
        amount = amount_at(demand.openings, now, CLASS_MEMORY_SECONDS)
        if amount <= EXPIRED_COUNT:
            load.demand_by_class.pop(opening_class)


def expire_callers(demand: ClassDemand, now: float) -> None:
    """Remove callers that asked long ago, and the oldest one if full."""
    counts = demand.counts_by_caller
    while counts:
        oldest = counts[next(iter(counts))]
        amount = amount_at(oldest, now, CALLER_MEMORY_SECONDS)
        if amount > EXPIRED_COUNT and len(counts) < MAX_COUNTED_CALLERS:
            return
        counts.popitem(last=False)


def demand_rate(demand: ClassDemand, now: float) -> float:
    """Return the openings a second of a class.

    Counts that began a short time ago are not complete yet.
    """
    amount = amount_at(demand.openings, now, CLASS_MEMORY_SECONDS)
    age = max(now - demand.counted_since, MIN_COUNTED_SECONDS)
    complete = -math.expm1(-age / CLASS_MEMORY_SECONDS)
    return amount / CLASS_MEMORY_SECONDS / complete


def total_demand(load: ServiceLoad, now: float) -> float:
    """Return the openings a second of a service."""
    return sum(
        demand_rate(demand, now) for demand in load.demand_by_class.values()
    )


def share_rate(load: ServiceLoad, now: float, rate: float) -> None:
    """Share a rate of openings out, the most important class first."""
    left = rate
    for opening_class in sorted(load.demand_by_class):
        demand = load.demand_by_class[opening_class]
        asked = demand_rate(demand, now)
        admitted = min(asked, left)
        left -= admitted
        demand.admitted_share = admitted / asked if asked else 1
        demand.fair_count = fair_count(demand, now)


def fair_count(demand: ClassDemand, now: float) -> float:
    """Return the count up to which each caller of a class is admitted."""
    if demand.admitted_share >= 1:
        return math.inf
    counts = [
        amount_at(count, now, CALLER_MEMORY_SECONDS)
        for count in demand.counts_by_caller.values()
    ]
    return divide_fairly(counts, sum(counts) * demand.admitted_share)


def divide_fairly(counts: Iterable[float], total: float) -> float:
    """Return the limit to each count that makes their sum the total."""
    ascending = sorted(counts)
    left = total
    for position, count in enumerate(ascending):
        limit = left / (len(ascending) - position)
        if count >= limit:
            return limit
        left -= count
    return math.inf


def admitted_share(load: ServiceLoad, now: float, opening: Opening) -> float:
    """Return the share of a caller's openings that is admitted."""
    demand = load.demand_by_class[opening.opening_class]
    if math.isinf(demand.fair_count):
        return 1
    count = demand.counts_by_caller[opening.caller]
    amount = amount_at(count, now, CALLER_MEMORY_SECONDS)
    return min(demand.fair_count / amount, 1)
