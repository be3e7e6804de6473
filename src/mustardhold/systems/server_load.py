"""Counts the load that a balancer's own flows put on each server.

A request is in flight from its first payload until the first byte of its
answer, the end of its flow or its time limit. An opening counts for the time
in which its answer is awaited. Requests are kept by flow, so that each one is
counted once and ends once, by whatever comes first.
"""

from collections.abc import Iterator
from datetime import timedelta
from heapq import heapify, heappop, heappush

from mustardhold.tables.constants import (
    MAX_RECENT_OPENINGS,
    OPENING_ANSWER_TIMEOUT,
)
from mustardhold.tables.gauges import Gauge
from mustardhold.tables.options import TokenBalancerOptions
from mustardhold.tables.server_load import (
    MAX_COUNTED_REQUESTS,
    MAX_LOADED_SERVERS,
    MAX_REQUEST_ENDS,
    MAX_REQUEST_SECONDS,
    OpeningKey,
    RequestInFlight,
    ServerLoad,
)
from mustardhold.tables.server_ranking import WeightedServer

# An opening goes to two servers, and the caller accepts one of them.
REQUEST_LOAD = 2
OPENING_SECONDS = OPENING_ANSWER_TIMEOUT.total_seconds()


def make_server_load(options: TokenBalancerOptions) -> ServerLoad | None:
    """Make the state of the choice by load; None if it is turned off."""
    return ServerLoad() if options.chooses_by_load else None


def limit_request(timeout: timedelta) -> float:
    """Return for how many seconds a request of a route counts at most."""
    seconds = timeout.total_seconds() or MAX_REQUEST_SECONDS
    return min(seconds, MAX_REQUEST_SECONDS)


def begin_in_flight(
    load: ServerLoad, now: float, flow: bytes, token: int, seconds: float
) -> None:
    """Count a request, instead of an earlier one of its flow."""
    expire_load(load, now)
    end_in_flight(load, flow)
    if len(load.requests_by_flow) >= MAX_COUNTED_REQUESTS:
        return
    if len(load.ends) >= MAX_REQUEST_ENDS:
        remove_answered(load)
    if count_up(load.requests_by_token, token):
        until = now + seconds
        load.requests_by_flow[flow] = RequestInFlight(token, until)
        heappush(load.ends, (until, flow))


def remove_answered(load: ServerLoad) -> None:
    """Remove the times of requests that are not in flight any more."""
    load.ends = [
        (request.until, flow) for flow, request in load.requests_by_flow.items()
    ]
    heapify(load.ends)


def end_in_flight(load: ServerLoad, flow: bytes) -> None:
    """Count the request of a flow no more, if it is counted."""
    request = load.requests_by_flow.pop(flow, None)
    if request is not None:
        count_down(load.requests_by_token, request.token)


def count_opening(
    load: ServerLoad, now: float, opening: OpeningKey, tokens: tuple[int, ...]
) -> None:
    """Count an opening at each of its servers, unless it is a duplicate."""
    expire_load(load, now)
    is_duplicate = opening in load.tokens_by_opening
    if is_duplicate or len(load.recent_openings) >= MAX_RECENT_OPENINGS:
        return
    counted = tuple(
        token for token in tokens if count_up(load.openings_by_token, token)
    )
    load.tokens_by_opening[opening] = counted
    load.recent_openings.append((now, opening))


def count_up(counts: dict[int, int], token: int) -> bool:
    """Add one to a server's count; return False if there are too many."""
    count = counts.get(token, 0)
    if not count and len(counts) >= MAX_LOADED_SERVERS:
        return False
    counts[token] = count + 1
    return True


def count_down(counts: dict[int, int], token: int) -> None:
    """Subtract one from a server's count; remove it at 0."""
    count = counts.pop(token)
    if count > 1:
        counts[token] = count - 1


def expire_load(load: ServerLoad, now: float) -> None:
    """Count requests and openings no more that are older than their limits."""
    openings = load.recent_openings
    while openings and openings[0][0] <= now - OPENING_SECONDS:
        _, opening = openings.popleft()
        for token in load.tokens_by_opening.pop(opening):
            count_down(load.openings_by_token, token)
    while load.ends and load.ends[0][0] <= now:
        until, flow = heappop(load.ends)
        request = load.requests_by_flow.get(flow)
        if request is not None and request.until == until:
            end_in_flight(load, flow)


def load_of(load: ServerLoad, member: WeightedServer) -> float:
    """Return the load of a server in relation to its weight."""
    token = member.server.token
    requests = load.requests_by_token.get(token, 0)
    openings = load.openings_by_token.get(token, 0)
    return (REQUEST_LOAD * requests + openings) / member.weight


def make_load_gauges(load: ServerLoad | None, now: float) -> Iterator[Gauge]:
    """Yield the number of requests in flight, if they are counted."""
    if load is not None:
        expire_load(load, now)
        yield Gauge(
            'requests_in_flight',
            'Requests of this balancer without any byte of their answer',
            len(load.requests_by_flow),
        )
