"""Adapts the rate of openings that is admitted to how answers come.

Overload makes most answers late, whichever server was asked; a few slow or
failing servers do not. The limit falls to a part at once when most answers are
late, and then rises slowly, less the share of answers that are still late. It
is a rate and not a share: so it holds while retries multiply the openings, and
refuses nobody once the demand is below it.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from mustardhold.systems.overload_demand import total_demand
from mustardhold.tables.answer_tracking import RecentAnswers
from mustardhold.tables.overload import WINDOW_SECONDS, ServiceLoad

# After a fall, requests from before it are still answered late: those wait for
# the longest queue, and become late a target latency after they begin.
SETTLING_SECONDS = 1.0
# After a pause this long, what was known of the load is too old.
FORGET_SECONDS = 10.0

# With fewer answers, chance alone makes most of them late.
MIN_ANSWERS = 10
MIN_LATE_SHARE = 0.5
# Faults make up to 20 % of the servers slow, and up to 30 % may be suspect at
# a time, so overload needs more, beyond three standard errors.
MIN_LATE_SERVERS = 0.4
STANDARD_ERRORS = 3.0

# Callers retry twice, so a service that is asked for 1.5 times its capacity
# gets up to three times the openings it can serve.
FALL_FACTOR = 0.4
MIN_LEVEL = 0.05
# Together these settle where 0.5 % of the answers are late: callers of the most
# important class need 98 % in time, and the load varies around that.
RISE = 0.01
CORRECTION = 2.0
CORRECTION_SECONDS = 2
# Doubles the limit in 12 s: faults and bursts last 5 to 8 s.
FAST_RISE = 0.06
CORRECTED_SHARE = 0.4
# Chance alone moves the demand at one balancer by a fifth.
HEADROOM = 1.25
HEADROOM_SECONDS = 3.0


def level_of(load: ServiceLoad, now: float) -> float:
    """Return the share of the openings that the limit admits."""
    demand = total_demand(load, now)
    if load.rate_limit >= demand:
        return 1
    return max(load.rate_limit / demand, MIN_LEVEL)


def check_answers(
    load: ServiceLoad, now: float, answers: RecentAnswers
) -> RecentAnswers:
    """Adapt the limit of a service to the answers of the last second.

    Without figures nothing is known to be late, so the limit rises.

    Returns
    -------
    RecentAnswers
        What was seen in the window.
    """
    elapsed = now - load.checked_at
    load.checked_at = now
    load.admitted_rate = load.admitted / (now - load.counted_since)
    load.admitted = 0
    load.counted_since = now
    if elapsed > WINDOW_SECONDS:
        load.window.clear()
    if elapsed > FORGET_SECONDS:
        lift_limit(load)
    load.window.append(answers)
    seen = sum_answers(load.window)
    if is_overloaded(load):
        lower_limit(load, now)
    elif math.isfinite(load.rate_limit):
        adjust_limit(load, elapsed)
        lift_if_ample(load, now)
    return seen


def sum_answers(window: Iterable[RecentAnswers]) -> RecentAnswers:
    """Return the answers of some seconds together."""
    return RecentAnswers(
        *(
            sum(figures)
            for figures in zip(
                *map(msgspec.structs.astuple, window), strict=True
            )
        )
    )


def is_overloaded(load: ServiceLoad) -> bool:
    """Return whether most answers are late, at most of the servers asked.

    So many of the last seconds count as show it: few while all answers are
    late, more while some are in time.
    """
    window = tuple(load.window)
    share = new_flow_share(load)
    return any(
        shows_overload(window[start:], share) for start in range(len(window))
    )


def shows_overload(
    window: Sequence[RecentAnswers], new_flow_share: float
) -> bool:
    """Return whether some seconds of answers show an overload.

    A new flow chooses its server anew. Later requests of a flow go to the same
    one, so that each second may ask the same servers as the one before, and
    adds less to what is known.
    """
    seen = sum_answers(window)
    answers = seen.late + seen.in_time
    if answers < MIN_ANSWERS or seen.late <= answers * MIN_LATE_SHARE:
        return False
    most = max(one.asked_servers for one in window)
    choices = most + (seen.asked_servers - most) * new_flow_share
    share = min(seen.late_servers / max(seen.asked_servers, 1), 1)
    return wilson_lower_bound(share, choices) > MIN_LATE_SERVERS


def wilson_lower_bound(share: float, samples: float) -> float:
    """Return the lower bound of a share by Wilson's interval."""
    if not samples:
        return 0
    spread = STANDARD_ERRORS**2 / samples
    deviation = math.sqrt(share * (1 - share) / samples + spread / samples / 4)
    return (share + spread / 2 - STANDARD_ERRORS * deviation) / (1 + spread)


def new_flow_share(load: ServiceLoad) -> float:
    """Return the share of the requests that began with a new flow."""
    begun = load.window[-1].begun
    return min(load.admitted_rate / begun, 1) if begun else 1


def lower_limit(load: ServiceLoad, now: float) -> None:
    """Lower the limit at once, and wait for answers to requests after that.

    Only flows that open can be refused. Where they bring a small part of the
    requests, since flows are long, the load follows slowly, and each refusal
    costs many requests; so the limit falls more slowly as well.
    """
    demand = total_demand(load, now)
    load.overload_rate = min(load.rate_limit, demand)
    limit = load.overload_rate * FALL_FACTOR ** new_flow_share(load)
    load.rate_limit = max(limit, MIN_LEVEL * demand)
    load.is_probing = True
    load.headroom_since = math.inf
    load.checked_at = now + SETTLING_SECONDS
    load.window.clear()


def adjust_limit(load: ServiceLoad, elapsed: float) -> None:
    """Raise the limit slowly, less the share of answers that are late.

    Corrections end at a part of the rate at which most answers were late. If
    answers are late even at that, the load is not the cause, and the limit
    rises. It rises faster until the first answer is late, and while it refuses
    nobody.
    """
    seen = sum_answers(tuple(load.window)[-CORRECTION_SECONDS:])
    late_share = seen.late / max(seen.late + seen.in_time, 1)
    load.is_probing = load.is_probing and not seen.late
    is_free = load.is_probing or (load.level == 1 and not seen.late)
    rise_a_second = FAST_RISE if is_free else RISE
    rise = rise_a_second * elapsed
    correction = CORRECTION * late_share * new_flow_share(load)
    limit = load.rate_limit * (1 + rise - correction)
    if limit < load.overload_rate * CORRECTED_SHARE:
        limit = load.rate_limit * (1 + rise)
        load.overload_rate *= 1 + rise
    load.rate_limit = limit


def lift_if_ample(load: ServiceLoad, now: float) -> None:
    """Lift the limit once it has been above the demand for some seconds."""
    if load.rate_limit < total_demand(load, now) * HEADROOM:
        load.headroom_since = math.inf
        return
    load.headroom_since = min(load.headroom_since, now)
    if now - load.headroom_since >= HEADROOM_SECONDS:
        lift_limit(load)


def lift_limit(load: ServiceLoad) -> None:
    """Admit everything again."""
    load.rate_limit = math.inf
    load.overload_rate = math.inf
    load.headroom_since = math.inf
    load.level = 1
