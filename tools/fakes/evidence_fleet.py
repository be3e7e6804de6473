"""A played load on servers of which some go bad, watched by many balancers.

Time is virtual and every choice follows from the seed. Callers, servers and
links are simple models; tracking, posts and evaluation are the product's.
"""

import functools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from typing import Any

from mustardhold.systems.answer_counts import take_evidence
from mustardhold.systems.answer_tracking import check_due, track_packet
from mustardhold.systems.directory import merge_report
from mustardhold.systems.evidence_window import add_evidence
from mustardhold.systems.server_evidence import evaluate_service
from mustardhold.systems.suspicions import is_suspect, suspect_tokens
from mustardhold.tables.answer_tracking import AnswerTracking
from mustardhold.tables.configurations import (
    RequestKind,
    ServiceAddress,
    ServiceRoute,
)
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from mustardhold.tables.forwarding import CallerPacket
from mustardhold.tables.server_evidence import EvidenceCollector, EvidencePost

SERVICE = 'shop'
ADDRESS = ServiceAddress(1, 80)
ROUTE = ServiceRoute(
    'lookups',
    ADDRESS,
    RequestKind.SAFE,
    (),
    target_latency=timedelta(milliseconds=500),
)
SLOTS = 2
WORK_SECONDS = 0.034
ROUND_TRIP_SECONDS = 0.005
# From the collector through a relay to a balancer.
FEED_SECONDS = 0.3
POST_SECONDS = 0.2
FAILURE_BYTES = 200
FAILING_SHARE = 0.4
TIMEOUT_SECONDS = 2.5
# Answers that come late for other reasons than the server: lost packets.
LOST_SHARE = 0.01


Event = tuple[float, int, Callable[[float], None]]


@dataclass(slots=True)
class Fleet:
    """Servers, balancers and the collector.

    Attributes
    ----------
    fault
        ``failing``, ``hanging`` or ``slow``: what the bad servers do.
    posts
        Changes the posts of a balancer, by its index.
    suspected_at
        When a server first became suspect.
    most_suspects
        Largest number of servers that were suspect at once.
    asked
        Requests by time and server.
    """

    fault: str = ''
    bad_from: float = 4
    bad_until: float = 10
    rate: float = 792
    servers: int = 60
    balancers: int = 82
    bad: int = 6
    seed: int = 1
    forge: Callable[[int, EvidencePost | None], EvidencePost | None] = (
        lambda _, post: post
    )
    directory: Directory = field(default_factory=Directory)
    collector: EvidenceCollector = field(default_factory=EvidenceCollector)
    suspected_at: dict[int, float] = field(default_factory=dict)
    most_suspects: int = 0
    asked: list[tuple[float, int]] = field(default_factory=list)


@dataclass(slots=True)
class Play:
    """State of a play; events are a heap by time."""

    fleet: Fleet
    choose: random.Random
    tokens: list[int] = field(default_factory=list)
    trackings: list[AnswerTracking] = field(default_factory=list)
    free_at: dict[int, list[float]] = field(default_factory=dict)
    known_since: dict[int, float] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    numbers: 'count[int]' = field(default_factory=count)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Schedule an action."""
        heappush(self.events, (when, next(self.numbers), action))


def play(fleet: Fleet, seconds: float) -> Fleet:
    """Play the load; the fleet holds what happened."""
    run = Play(fleet, random.Random(fleet.seed))
    run.free_at = add_servers(fleet.directory, fleet.servers, ['dc-1'])
    run.tokens = list(run.free_at)
    run.trackings = [AnswerTracking() for _ in range(fleet.balancers)]
    for index in range(fleet.balancers):
        offset = run.choose.uniform(0, POST_SECONDS)
        run.at(offset, functools.partial(post, run, index))
    run.at(0, lambda now: begin(run, now))
    while run.events[0][0] < seconds:
        when, _, action = heappop(run.events)
        action(when)
    return fleet


def add_servers(
    directory: Directory, servers: int, data_centres: Sequence[str]
) -> dict[int, list[float]]:
    """Add idle servers, spread over data centres.

    Returns
    -------
    dict
        When each slot of a server is free, by its token.
    """
    for number in range(servers):
        report = ServerReport(
            f'i-{number}',
            1,
            1,
            SERVICE,
            f'10.0.0.{number}:80',
            data_centres[number % len(data_centres)],
            SLOTS,
            ServerState.READY,
        )
        merge_report(directory, 0, report)
    return {
        token: [0 for _ in range(SLOTS)] for token in directory.servers_by_token
    }


def occupy_slot(slots: list[float], now: float, seconds: float) -> float:
    """Occupy the slot that is free first; return when its work is done."""
    slot = min(range(len(slots)), key=slots.__getitem__)
    slots[slot] = max(slots[slot], now) + seconds
    return slots[slot]


def begin(run: Play, now: float) -> None:
    """Send a request through a balancer to a server that is not suspect."""
    fleet = run.fleet
    run.at(now + run.choose.expovariate(fleet.rate), lambda at: begin(run, at))
    suspicions = fleet.directory.suspicions
    trusted = [
        token
        for token in run.tokens
        if now < run.known_since.get(token, 0)
        or not is_suspect(suspicions, now, token)
    ]
    token = run.choose.choice(trusted)
    index = run.choose.randrange(fleet.balancers)
    fleet.asked.append((now, token))
    flow = next(run.numbers).to_bytes(12, 'big')
    place = (index, token, flow)
    see(run, place, now, length=60)
    seconds, size = answer(run, now, token)
    if run.choose.random() < LOST_SHARE:
        seconds += 0.6
    ends_at = now + min(seconds, TIMEOUT_SECONDS)
    size = size if seconds < TIMEOUT_SECONDS else 0
    run.at(ends_at, lambda at: see(run, place, at, acknowledged=size))
    run.at(ends_at, lambda at: see(run, place, at, is_closing=True))


def answer(run: Play, now: float, token: int) -> tuple[float, int]:
    """Return how long a server takes to answer, and the answer's length."""
    fleet = run.fleet
    is_bad = fleet.bad_from <= now < fleet.bad_until
    fault = fleet.fault if token in run.tokens[: fleet.bad] and is_bad else ''
    size = round(run.choose.lognormvariate(8, 0.4))
    if fault == 'failing' and run.choose.random() < FAILING_SHARE:
        return ROUND_TRIP_SECONDS, FAILURE_BYTES
    if fault == 'hanging':
        return TIMEOUT_SECONDS, 0
    work = run.choose.expovariate(1 / WORK_SECONDS)
    work *= 5 if fault == 'slow' else 1
    done_at = occupy_slot(run.free_at[token], now, work)
    return ROUND_TRIP_SECONDS + done_at - now, size


def see(
    run: Play, place: tuple[int, int, bytes], now: float, **fields: Any
) -> None:
    """Let a balancer see a caller's packet."""
    index, token, flow = place
    packet = CallerPacket(flow, ADDRESS, token, 0, 0, False, False)
    packet = packet._replace(**fields)
    server = run.fleet.directory.servers_by_token[token]
    track_packet(run.trackings[index], now, packet, server, ROUTE)


def post(run: Play, index: int, now: float) -> None:
    """Post a balancer's evidence, and evaluate it."""
    fleet, tracking = run.fleet, run.trackings[index]
    run.at(now + POST_SECONDS, functools.partial(post, run, index))
    check_due(tracking, now)
    service = tracking.services_by_name.get(SERVICE)
    taken = None
    if service is not None:
        taken = take_evidence(service, now, f'b-{index}')
    made = fleet.forge(index, taken)
    if made is None:
        return
    add_evidence(fleet.collector, fleet.directory, now, made)
    for one in evaluate_service(fleet.collector, fleet.directory, now, SERVICE):
        fleet.suspected_at.setdefault(one.token, now)
        run.known_since[one.token] = now + FEED_SECONDS
    suspects = len(suspect_tokens(fleet.directory.suspicions, now))
    fleet.most_suspects = max(fleet.most_suspects, suspects)
