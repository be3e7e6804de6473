"""A simulated load in which the callers' data centres differ in demand.

Time is virtual and every draw follows from the seed. Callers, servers and
links are simple models; the choice of servers, the tracking and the evaluation
of server health are the product's. Callers do not retry, so a request that is
late counts once.
"""

import functools
import math
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from mustardhold.systems.answer_counts import take_evidence
from mustardhold.systems.answer_tracking import check_due
from mustardhold.systems.evidence_window import add_evidence
from mustardhold.systems.server_evidence import evaluate_service
from mustardhold.systems.token_forwarding import (
    decide_packet,
    install_configuration,
)
from mustardhold.tables.configurations import Configuration, WeightedService
from mustardhold.tables.directory import Directory
from mustardhold.tables.forwarding import (
    FLOW_ADDRESSES,
    CallerPacket,
    Forward,
    ForwardingTables,
)
from mustardhold.tables.server_evidence import EvidenceCollector
from mustardhold.tables.server_load import ServerLoad
from tools.fakes.event_queue import (
    EventQueue,
    make_queue,
    run_until,
    schedule,
    schedule_every,
)
from tools.fakes.evidence_fleet import (
    ADDRESS,
    POST_SECONDS,
    ROUND_TRIP_SECONDS,
    ROUTE,
    SERVICE,
    SLOTS,
    TIMEOUT_SECONDS,
    WORK_SECONDS,
    add_servers,
    occupy_slot,
)

TARGET_SECONDS = ROUTE.target_latency.total_seconds()
LOCAL_SECONDS = 0.0005
LONG_SHARE = 0.03
LONG_FACTOR = 7
SLOW_FACTOR = 5
WAVE_DEPTH = 0.35
WAVE_SECONDS = 6
SYN_RETRIES = (0.2, 0.6)
CHECK_SECONDS = 0.1


@dataclass(slots=True)
class LoadFleet:
    """Settings and results of a simulation.

    Attributes
    ----------
    load
        Demand as a share of what the slots can do.
    fault
        ``slow`` or ``unresponsive``: what the bad servers are while bad.
    event
        What happens at ``event_at``: the first balancer is ``killed``,
        ``restarted`` or ``suspended`` (for a second), or the first data centre
        is ``cut-off`` until the end.
    centres, servers, balancers
        Numbers of data centres, and of servers and balancers in all of them.
    heeds_health
        Whether balancers share what they see of servers, and avoid suspects.
    free_at
        When each slot of a server is free, by its token.
    seconds_taken
        Start of each request, and the time to its answer; infinite without one.
    asked
        Requests that were sent to each server, by its token.
    """

    by_load: bool = True
    load: float = 0.9
    fault: str = ''
    bad: int = 7
    bad_from: float = 2
    bad_until: float = 7
    event: str = ''
    event_at: float = 3
    centres: int = 3
    servers: int = 60
    balancers: int = 82
    seed: int = 1
    heeds_health: bool = True
    directory: Directory = field(default_factory=Directory)
    collector: EvidenceCollector = field(default_factory=EvidenceCollector)
    tables: list[ForwardingTables] = field(default_factory=list)
    free_at: dict[int, list[float]] = field(default_factory=dict)
    seconds_taken: list[tuple[float, float]] = field(default_factory=list)
    asked: Counter[int] = field(default_factory=Counter)
    queue: EventQueue = field(default_factory=lambda: make_queue(0))


@dataclass(frozen=True, slots=True)
class Flow:
    """A caller's flow: its key, data centre, balancer and start."""

    key: bytes
    centre: int
    balancer: int
    started_at: float


def share_in_time(fleet: LoadFleet, begin: float = 1) -> float:
    """Return the share of the requests that were answered in time."""
    taken = [taken for at, taken in fleet.seconds_taken if at >= begin]
    return sum(seconds <= TARGET_SECONDS for seconds in taken) / len(taken)


def busiest_share(fleet: LoadFleet) -> float:
    """Return the requests of the busiest server in relation to the mean."""
    return max(fleet.asked.values()) * fleet.servers / fleet.asked.total()


def play_load(fleet: LoadFleet, seconds: float) -> LoadFleet:
    """Simulate the load for some seconds; the fleet holds the results."""
    fleet.queue = make_queue(fleet.seed)
    data_centres = [f'dc-{number}' for number in range(fleet.centres)]
    fleet.free_at = add_servers(fleet.directory, fleet.servers, data_centres)
    fleet.tables = [
        make_tables(fleet, number) for number in range(fleet.balancers)
    ]
    schedule_every(
        fleet.queue, CHECK_SECONDS, functools.partial(check_all, fleet)
    )
    if fleet.heeds_health:
        schedule_every(
            fleet.queue, POST_SECONDS, functools.partial(post_all, fleet)
        )
    if fleet.event == 'restarted':
        schedule(
            fleet.queue,
            fleet.event_at,
            lambda: fleet.tables.__setitem__(0, make_tables(fleet, 0)),
        )
    schedule(fleet.queue, 0, functools.partial(arrive, fleet, seconds))
    run_until(fleet.queue, seconds + TIMEOUT_SECONDS + 1)
    return fleet


def make_tables(fleet: LoadFleet, number: int) -> ForwardingTables:
    """Make the tables of a balancer that has just started."""
    tables = ForwardingTables(
        f'dc-{number % fleet.centres}',
        fleet.directory,
        name=f'b-{number}',
        avoids_suspects=fleet.heeds_health,
    )
    tables.answers.load = ServerLoad() if fleet.by_load else None
    route = msgspec.structs.replace(
        ROUTE,
        targets=(WeightedService(SERVICE, 1),),
        timeout=timedelta(seconds=TIMEOUT_SECONDS),
    )
    install_configuration(tables, Configuration(1, {ADDRESS: route}))
    return tables


def check_all(fleet: LoadFleet) -> None:
    """Let every balancer check for late answers."""
    for number, tables in enumerate(fleet.tables):
        if not is_paused(fleet, number):
            check_due(tables.answers, fleet.queue.now)


def post_all(fleet: LoadFleet) -> None:
    """Let every balancer post what it saw, and evaluate it."""
    now = fleet.queue.now
    for number, tables in enumerate(fleet.tables):
        service = tables.answers.services_by_name.get(SERVICE)
        if service is None or is_paused(fleet, number):
            continue
        taken = take_evidence(service, now, f'b-{number}')
        if taken is not None:
            add_evidence(fleet.collector, fleet.directory, now, taken)
    evaluate_service(fleet.collector, fleet.directory, now, SERVICE)


def is_paused(fleet: LoadFleet, balancer: int) -> bool:
    """Return whether a balancer is suspended or killed."""
    if balancer or fleet.queue.now < fleet.event_at:
        return False
    is_over = fleet.queue.now >= fleet.event_at + 1
    return fleet.event == 'killed' or (
        fleet.event == 'suspended' and not is_over
    )


def arrive(fleet: LoadFleet, until: float) -> None:
    """Let a request arrive in a data centre, by the waves of demand."""
    queue = fleet.queue
    rate = fleet.load * fleet.servers * SLOTS / WORK_SECONDS
    weights = [
        1
        + WAVE_DEPTH
        * math.sin(
            2 * math.pi * (queue.now / WAVE_SECONDS + centre / fleet.centres)
        )
        for centre in range(fleet.centres)
    ]
    centre = queue.rng.choices(range(fleet.centres), weights)[0]
    key = FLOW_ADDRESSES.pack(80, 1, 1, len(fleet.seconds_taken))
    fleet.seconds_taken.append((queue.now, math.inf))
    flow = Flow(key, centre, choose_balancer(fleet, centre), queue.now)
    open_flow(fleet, flow, len(fleet.seconds_taken) - 1, 0)
    if queue.now < until:
        schedule(
            queue,
            queue.rng.expovariate(rate),
            functools.partial(arrive, fleet, until),
        )


def choose_balancer(fleet: LoadFleet, centre: int) -> int:
    """Return the balancer that the fabric sends a new flow to."""
    numbers = range(centre, fleet.balancers, fleet.centres)
    chosen = fleet.queue.rng.choice(numbers)
    if fleet.event == 'killed' and is_paused(fleet, chosen):
        return numbers[1]
    return chosen


def handle(fleet: LoadFleet, flow: Flow, packet: CallerPacket) -> object:
    """Let the flow's balancer decide on a packet, or another one after it."""
    number = flow.balancer
    if fleet.event == 'killed' and is_paused(fleet, number):
        number = choose_balancer(fleet, flow.centre)
    return decide_packet(fleet.tables[number], fleet.queue.now, packet)


def open_flow(fleet: LoadFleet, flow: Flow, number: int, attempt: int) -> None:
    """Send a SYN, and the request to the server whose answer is first."""
    if fleet.event == 'suspended' and is_paused(fleet, flow.balancer):
        wait = fleet.event_at + 1 - fleet.queue.now
        retry = functools.partial(open_flow, fleet, flow, number, attempt)
        schedule(fleet.queue, wait, retry)
        return
    packet = CallerPacket(flow.key, ADDRESS, 0, 0, attempt, True, False)
    trips = find_trips(fleet, flow, handle(fleet, flow, packet))
    if trips:
        trip, token = min(trips)
        send = functools.partial(send_request, fleet, flow, number, token, trip)
        schedule(fleet.queue, trip, send)
    elif attempt < len(SYN_RETRIES):
        schedule(
            fleet.queue,
            flow.started_at + SYN_RETRIES[attempt] - fleet.queue.now,
            functools.partial(open_flow, fleet, flow, number, attempt + 1),
        )


def find_trips(
    fleet: LoadFleet, flow: Flow, decision: object
) -> list[tuple[float, int]]:
    """Return the servers that answer a SYN, each after its round trip."""
    servers = decision.servers if isinstance(decision, Forward) else ()
    trips = []
    for server in servers:
        centre = int(server.report.data_centre.removeprefix('dc-'))
        is_local = centre == flow.centre
        base = LOCAL_SECONDS if is_local else ROUND_TRIP_SECONDS
        if not is_cut(fleet, centre, flow.centre):
            trip = base * fleet.queue.rng.uniform(1, 1.3)
            trips.append((trip, server.token))
    return trips


def is_cut(fleet: LoadFleet, centre: int, other: int) -> bool:
    """Return whether packets between two data centres are lost."""
    is_on = fleet.event == 'cut-off' and fleet.queue.now >= fleet.event_at
    return is_on and (not centre) != (not other)


def send_request(
    fleet: LoadFleet, flow: Flow, number: int, token: int, trip: float
) -> None:
    """Send a request, and let its answer arrive."""
    queue = fleet.queue
    packet = CallerPacket(flow.key, ADDRESS, token, 0, 0, False, False)
    see(fleet, flow, packet._replace(length=60))
    fleet.asked[token] += 1
    answered_at = work(fleet, token) + trip
    ends_at = min(answered_at, flow.started_at + TIMEOUT_SECONDS)
    size = 3_000 if answered_at == ends_at else 0
    if size:
        taken = answered_at - flow.started_at
        fleet.seconds_taken[number] = (flow.started_at, taken)
    closing = packet._replace(sequence=60, acknowledged=size, is_closing=True)
    schedule(
        queue,
        max(ends_at - queue.now, 0),
        functools.partial(see, fleet, flow, closing),
    )


def see(fleet: LoadFleet, flow: Flow, packet: CallerPacket) -> None:
    """Let a balancer see a packet, later if it is suspended."""
    if fleet.event == 'suspended' and is_paused(fleet, flow.balancer):
        wait = fleet.event_at + 1 - fleet.queue.now
        schedule(fleet.queue, wait, functools.partial(see, fleet, flow, packet))
    else:
        handle(fleet, flow, packet)


def work(fleet: LoadFleet, token: int) -> float:
    """Return when a server answers a request that has just arrived."""
    now, rng = fleet.queue.now, fleet.queue.rng
    bad = list(fleet.free_at)[: fleet.bad]
    is_bad = token in bad and fleet.bad_from <= now < fleet.bad_until
    if is_bad and fleet.fault == 'unresponsive':
        return math.inf
    if rng.random() < LONG_SHARE:
        seconds = WORK_SECONDS * LONG_FACTOR
    else:
        mean = (1 - LONG_SHARE * LONG_FACTOR) / (1 - LONG_SHARE)
        seconds = rng.expovariate(1 / (WORK_SECONDS * mean))
    if is_bad and fleet.fault == 'slow':
        seconds *= SLOW_FACTOR
    return occupy_slot(fleet.free_at[token], now, seconds)
