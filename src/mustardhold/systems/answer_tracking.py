"""Tells from callers' packets whether servers answer well and in time.

Payload of a caller begins a request. The first acknowledgement that advances
after it shows that an answer is arriving, and later ones give its length. A
request is late if no byte of its answer has arrived within the target latency
of its route, and its answer is short if it is complete and much shorter than
usual for the route, as failures are. Both are hints: packets may overtake each
other, and those of one flow may reach different balancers.
"""

from heapq import heappop, heappush

from mustardhold.systems.answer_counts import (
    count_answer,
    count_begun,
    outcomes_of,
    track_route,
    track_service,
)
from mustardhold.systems.server_load import (
    begin_in_flight,
    end_in_flight,
)
from mustardhold.tables.answer_tracking import (
    MAX_TRACKED_FLOWS,
    AnswerTracking,
    RequestPhase,
    TrackedFlow,
)
from mustardhold.tables.configurations import ServiceRoute
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import CallerPacket

# As names of the module they cost less for each packet.
IDLE, WAITING, ANSWERING = RequestPhase

# Sequence numbers and acknowledgements have 32 bits and wrap.
SEQUENCE_MASK = 2**32 - 1
HALF_SEQUENCE = 2**31
# An answer without news for longer than the first retransmission takes, which
# callers see after 200 ms, is taken to be complete.
QUIET_SECONDS = 0.25
# Failures hold a few hundred bytes; less than a third of what is usual stands
# out where answers differ little in length.
SHORT_SHARE = 1 / 3
# Below this many answers, what is usual is not known.
MIN_ANSWERS = 20
USUAL_WEIGHT = 0.02
# Checks run every 100 ms.
MAX_CHECK_GAP_SECONDS = 0.5


def track_packet(
    tracking: AnswerTracking,
    now: float,
    packet: CallerPacket,
    server: KnownServer,
    route: ServiceRoute,
) -> None:
    """Track a packet of an open flow.

    Most packets only acknowledge, so little is done for them.

    Parameters
    ----------
    server
        Server that the packet is forwarded to.
    route
        Route of the flow, which must have a target latency.
    """
    flow = tracking.flows_by_key.get(packet.flow)
    if flow is None:
        start_tracking(tracking, now, packet, server, route)
        return
    if packet.is_reset:
        stop_tracking(tracking, packet.flow)
        return
    advance = (packet.acknowledged - flow.acknowledged) & SEQUENCE_MASK
    if advance and advance < HALF_SEQUENCE:
        flow.acknowledged = packet.acknowledged
        if flow.phase is ANSWERING:
            flow.answered_at = now
        elif flow.phase is WAITING:
            end_request(tracking, packet.flow)
            record_first_bytes(tracking, now, flow)
    if packet.length:
        record_payload(tracking, now, packet, flow, server.token)
    elif packet.is_closing:
        complete_answer(flow)
        stop_tracking(tracking, packet.flow)


def stop_tracking(tracking: AnswerTracking, key: bytes) -> TrackedFlow:
    """Remove a flow, and its request if it is in flight."""
    end_request(tracking, key)
    return tracking.flows_by_key.pop(key)


def end_request(tracking: AnswerTracking, key: bytes) -> None:
    """Count the request of a flow as in flight no more."""
    if tracking.load is not None:
        end_in_flight(tracking.load, key)


def start_tracking(
    tracking: AnswerTracking,
    now: float,
    packet: CallerPacket,
    server: KnownServer,
    route: ServiceRoute,
) -> None:
    """Track a flow from the first payload that is seen of it."""
    if not packet.length or packet.is_reset:
        return
    service = track_service(tracking, now, server.report.service)
    answers = track_route(tracking, route)
    if service is None or answers is None:
        tracking.untracked += 1
        return
    if not count_begun(service, now, server.token):
        return
    if len(tracking.flows_by_key) >= MAX_TRACKED_FLOWS:
        oldest = stop_tracking(tracking, next(iter(tracking.flows_by_key)))
        tracking.untracked += oldest.phase is WAITING
    end = (packet.sequence + packet.length) & SEQUENCE_MASK
    tracked = TrackedFlow(
        server.token, service, answers, end, packet.acknowledged
    )
    tracking.flows_by_key[packet.flow] = tracked
    begin_request(tracking, now, packet.flow, tracked)


def begin_request(
    tracking: AnswerTracking, now: float, key: bytes, flow: TrackedFlow
) -> None:
    """Begin a request of a flow that has been counted."""
    flow.phase = WAITING
    flow.is_late = False
    flow.requested_at = now
    flow.acknowledged_before = flow.acknowledged
    if tracking.load is not None:
        seconds = flow.route.in_flight_seconds
        begin_in_flight(tracking.load, now, key, flow.token, seconds)
    if not flow.is_scheduled:
        schedule_check(tracking, now + flow.route.target_seconds, key, flow)


def schedule_check(
    tracking: AnswerTracking, at: float, key: bytes, flow: TrackedFlow
) -> None:
    """Schedule a check of a flow's request."""
    if len(tracking.due) >= MAX_TRACKED_FLOWS:
        tracking.untracked += 1
        return
    flow.is_scheduled = True
    heappush(tracking.due, (at, key))


def record_payload(
    tracking: AnswerTracking,
    now: float,
    packet: CallerPacket,
    flow: TrackedFlow,
    token: int,
) -> None:
    """Record payload: it begins a request, or continues one.

    No answer comes before a request is complete, so each packet that continues
    one restarts its time, also one that fills a gap. A repetition of the last
    packet does not: callers repeat what a server leaves unanswered.
    """
    end = (packet.sequence + packet.length) & SEQUENCE_MASK
    if end == flow.sent:
        return
    is_new = (end - flow.sent) & SEQUENCE_MASK < HALF_SEQUENCE
    if is_new:
        flow.sent = end
    if flow.phase is WAITING:
        flow.requested_at = now
    elif is_new:
        complete_answer(flow)
        if not count_begun(flow.service, now, token):
            end_request(tracking, packet.flow)
            return
        flow.token = token
        # Moves the flow to the end of the mapping, after earlier requests.
        tracking.flows_by_key.pop(packet.flow)
        tracking.flows_by_key[packet.flow] = flow
        begin_request(tracking, now, packet.flow, flow)


def record_first_bytes(
    tracking: AnswerTracking, now: float, flow: TrackedFlow
) -> None:
    """Record that the caller received the first part of the answer."""
    flow.answered_at = now
    flow.phase = ANSWERING
    if flow.is_late:
        return
    elapsed = now - flow.requested_at
    is_over = elapsed > flow.route.target_seconds
    flow.is_late = is_over and not was_suspended(tracking, now)
    if not is_over:
        flow.service.busy_seconds += elapsed
    count_answer(flow.service, now, flow.token, is_late=flow.is_late)


def complete_answer(flow: TrackedFlow) -> None:
    """Classify an answer that is complete, if any has arrived."""
    if flow.phase is ANSWERING:
        route = flow.route
        length = (flow.acknowledged - flow.acknowledged_before) & SEQUENCE_MASK
        is_short = (
            route.answers >= MIN_ANSWERS
            and length < route.usual_bytes * SHORT_SHARE
        )
        route.answers += 1
        weight = max(1 / route.answers, USUAL_WEIGHT)
        route.usual_bytes += (length - route.usual_bytes) * weight
        outcomes = outcomes_of(flow.service, flow.token)
        if outcomes is not None and not flow.is_late:
            outcomes.short += is_short
            outcomes.good += not is_short
            flow.service.has_bad = flow.service.has_bad or is_short
    flow.phase = IDLE


def was_suspended(tracking: AnswerTracking, now: float) -> bool:
    """Return whether the process has not run for a time until now.

    Answers may have waited unread meanwhile.
    """
    return now - tracking.checked_at > MAX_CHECK_GAP_SECONDS


def check_due(tracking: AnswerTracking, now: float) -> None:
    """Count the requests that have become late, and the quiet answers.

    What became due while the process was suspended does not count.
    """
    is_suspended = was_suspended(tracking, now)
    tracking.checked_at = now
    while tracking.due and tracking.due[0][0] <= now:
        _, key = heappop(tracking.due)
        flow = tracking.flows_by_key.get(key)
        if flow is None:
            continue
        flow.is_scheduled = False
        if is_suspended:
            flow.phase = IDLE
            end_request(tracking, key)
            continue
        next_at = check_flow(flow, now)
        if next_at is not None:
            schedule_check(tracking, next_at, key, flow)


def check_flow(flow: TrackedFlow, now: float) -> float | None:
    """Check a request; return when to check it again, if at all."""
    if flow.phase is WAITING:
        late_at = flow.requested_at + flow.route.target_seconds
        if now < late_at:
            return late_at
        if not flow.is_late:
            flow.is_late = True
            count_answer(flow.service, now, flow.token, is_late=True)
    elif flow.phase is ANSWERING:
        quiet_at = flow.answered_at + QUIET_SECONDS
        if now < quiet_at:
            return quiet_at
        complete_answer(flow)
    return None
