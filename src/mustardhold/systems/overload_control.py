"""Decides which openings are refused while a service has too little capacity.

The load is more requests than a service's servers answer in time, for
seconds or longer, seen by balancers that have a small share of it each: some
ten requests a second. Refusing the least important openings then lets the
others be answered in time.
"""

import math
from collections.abc import Callable

import xxhash

from mustardhold.systems.overload_demand import (
    admitted_share,
    count_opening,
    share_rate,
    total_demand,
)
from mustardhold.systems.overload_level import check_answers, level_of
from mustardhold.tables.answer_tracking import RecentAnswers
from mustardhold.tables.overload import (
    MAX_CONTROLLED_SERVICES,
    MAX_REFUSED_FLOWS,
    LevelChange,
    Opening,
    OverloadControl,
    ServiceLoad,
)

HASH_RANGE = 2**64
# Makes this hash independent of those that choose the service and servers.
ADMISSION_SEED = 2

CHECK_SECONDS = 1.0
SHARING_SECONDS = 0.2
# A caller gives an opening up after 1.4 s.
REFUSAL_MEMORY_SECONDS = 1.5

ReadAnswers = Callable[[], RecentAnswers]


def is_admitted(
    control: OverloadControl,
    now: float,
    opening: Opening,
    read_answers: ReadAnswers,
) -> bool:
    """Decide whether an opening is admitted.

    Callers repeat only what was not reset, so a repeated opening was admitted
    before, here or at another balancer, unless it was refused here and the
    reset was lost. Then the same hash decides it again, so that it is refused
    while the level is as low.

    Parameters
    ----------
    read_answers
        Returns the answers of the service in the last second.
    """
    if opening.attempt and not was_refused(control, now, opening.flow):
        return True
    load = load_of(control, now, opening.service)
    count_opening(load, now, opening)
    if now - load.checked_at >= CHECK_SECONDS:
        check_service(control, now, opening.service, read_answers())
    if math.isinf(load.rate_limit) or is_within_share(load, now, opening):
        load.admitted += 1
        control.refused_at_by_flow.pop(opening.flow, None)
        return True
    remember_refusal(control, now, opening.flow)
    return False


def load_of(control: OverloadControl, now: float, service: str) -> ServiceLoad:
    """Return the load of a service; nothing is known of a new one."""
    loads = control.loads_by_service
    load = loads.get(service)
    if load is None:
        if len(loads) >= MAX_CONTROLLED_SERVICES:
            loads.popitem(last=False)
        load = ServiceLoad(checked_at=now, counted_since=now)
        loads[service] = load
    loads.move_to_end(service)
    return load


def check_service(
    control: OverloadControl, now: float, service: str, answers: RecentAnswers
) -> None:
    """Adapt the limit of a service, and note if it begins or ends."""
    load = control.loads_by_service[service]
    was_limited = math.isfinite(load.rate_limit)
    seen = check_answers(load, now, answers)
    if was_limited != math.isfinite(load.rate_limit):
        load.level = level_of(load, now)
        demand = total_demand(load, now)
        control.changes.append(LevelChange(service, load.level, seen, demand))


def is_within_share(load: ServiceLoad, now: float, opening: Opening) -> bool:
    """Return whether an opening is within the share of its caller."""
    if now - load.shared_at >= SHARING_SECONDS:
        load.shared_at = now
        load.level = level_of(load, now)
        share_rate(load, now, load.level * total_demand(load, now))
    point = xxhash.xxh3_64_intdigest(opening.flow, seed=ADMISSION_SEED)
    return point < admitted_share(load, now, opening) * HASH_RANGE


def was_refused(control: OverloadControl, now: float, flow: bytes) -> bool:
    """Return whether the opening of a flow was refused here just now.

    Later ones are of another flow with the same ports, which another balancer
    may have admitted.
    """
    refused_at = control.refused_at_by_flow.get(flow, -math.inf)
    return now - refused_at <= REFUSAL_MEMORY_SECONDS


def remember_refusal(control: OverloadControl, now: float, flow: bytes) -> None:
    """Remember a refused flow while its opening may be repeated."""
    refused = control.refused_at_by_flow
    refused[flow] = now
    refused.move_to_end(flow)
    while refused:
        oldest = next(iter(refused))
        is_old = now - refused[oldest] > REFUSAL_MEMORY_SECONDS
        if not is_old and len(refused) <= MAX_REFUSED_FLOWS:
            return
        refused.pop(oldest)
