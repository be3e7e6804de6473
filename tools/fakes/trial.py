"""Trials of one service under steady load, with three changes of its pool."""

import functools
import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from mustardhold.systems.routing import install_table
from mustardhold.tables.backends import BackendState
from mustardhold.tables.routing import Pool, Weighting
from tools.fakes.deployments import Service, servers_of
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import (
    Fleet,
    Logic,
    add_server,
    make_spanning_fleet,
    routing_table,
)
from tools.fakes.servers import FakeServer
from tools.fakes.traffic import (
    FlowNumbers,
    Traffic,
    broken_flows,
    is_usable,
    send_request,
    start_traffic,
)

BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
LONG_SHARE = 0.5
OVERLOAD_FACTOR = 1.1
LONG_SECONDS = 86_400
SHORT_SECONDS = 60
FILL_SECONDS = 40
SETTLED_AT = 100
STEP_SECONDS = 61
STARTUP_SECONDS = 3
FIRST_VIEW_SECONDS = 8
FILLED_AT = FIRST_VIEW_SECONDS + FILL_SECONDS
UPLOAD_SECONDS = 120
WINDOW_SECONDS = 10
BUSY_SHARE = 0.4
SPREAD_SECONDS = 2


class CallerGroup(NamedTuple):
    """Callers whose flows last all day, or are short-lived."""

    openings_per_second: float
    flow_seconds: float
    until: float


@dataclass(frozen=True, slots=True)
class ImbalanceReading:
    """Imbalance at one time: maximum over mean of the hosts not drained."""

    moment: str
    connections: float
    busy_slots: float


@dataclass(slots=True)
class TrialResult:
    """The measurements of a trial.

    Attributes
    ----------
    relayed
        Fraction of callers' packets that were relayed.
    filled
        Fraction of all connections in use at the end of an overload run.
    """

    readings: list[ImbalanceReading] = field(default_factory=list)
    refused_opens: int = 0
    opened: int = 0
    broken: int = 0
    relayed: float = 0
    filled: float = 0


@dataclass(slots=True)
class Trial:
    """A running trial."""

    fleet: Fleet
    service: Service
    weighting: Weighting
    drained_servers: set[str] = field(default_factory=set)
    versions: int = 1
    result: TrialResult = field(default_factory=TrialResult)


def start_trial(
    service: Service, logic: Logic, weighting: Weighting, seed: int
) -> Trial:
    """Start the balancers and servers and install the first pool."""
    servers = servers_of(service)
    data_centre_by_balancer = dict(
        zip(BALANCERS, itertools.cycle(service.data_centres))
    )
    fleet = make_spanning_fleet(seed, logic, data_centre_by_balancer, servers)
    run_until(fleet.queue, FIRST_VIEW_SECONDS)
    trial = Trial(fleet, service, weighting)
    edit_pool(trial, drained=())
    return trial


def steady_callers(service: Service) -> tuple[CallerGroup, ...]:
    """Return callers that fill a service; half of its flows are short."""
    steady = capacity_of(service) * service.fill
    return (
        CallerGroup(
            steady * LONG_SHARE / FILL_SECONDS, LONG_SECONDS, FILLED_AT
        ),
        CallerGroup(
            steady * (1 - LONG_SHARE) / SHORT_SECONDS, SHORT_SECONDS, 1e6
        ),
    )


def capacity_of(service: Service) -> int:
    """Return the sum of the connection limits of a service's hosts."""
    return sum(server.connection_limit for server in servers_of(service))


def start_callers(trial: Trial, callers: Iterable[CallerGroup]) -> None:
    """Start the traffic of each group of callers."""
    numbers = FlowNumbers()
    for group in callers:
        traffic = Traffic(
            trial.service.name,
            openings_per_second=group.openings_per_second,
            flow_seconds=group.flow_seconds,
            upload_seconds=UPLOAD_SECONDS,
        )
        start_traffic(trial.fleet, traffic, group.until, numbers)


def edit_pool(trial: Trial, drained: tuple[str, ...]) -> None:
    """Install an edited pool at each balancer within two seconds."""
    trial.versions += 1
    pool = Pool(trial.service.name, drained=drained, weighting=trial.weighting)
    table = routing_table(trial.fleet, trial.versions, pool)
    queue = trial.fleet.queue
    for tables in trial.fleet.balancers_by_id.values():
        install = functools.partial(install_table, tables, table)
        schedule(queue, queue.rng.uniform(0, SPREAD_SECONDS), install)


def undrained_hosts(trial: Trial) -> list[FakeServer]:
    """Return the hosts that are not drained."""
    return [
        server
        for server in trial.fleet.servers_by_id.values()
        if server.backend_id not in trial.drained_servers
    ]


def max_over_mean(values: list[float]) -> float:
    """Return the largest value divided by the mean, 1 if all are zero."""
    mean = sum(values) / len(values)
    return max(values) / mean if mean else 1


def run_and_read(trial: Trial, moment: str, at: float) -> None:
    """Run until a time and record the imbalance.

    Busy slots are measured over the last ten seconds.
    """
    fleet = trial.fleet
    run_until(fleet.queue, at - WINDOW_SECONDS)
    send_requests_on_all_flows(trial)
    hosts = undrained_hosts(trial)
    before = {host.backend_id: count_executions(host) for host in hosts}
    run_until(fleet.queue, at)
    reading = ImbalanceReading(
        moment,
        max_over_mean(
            [len(host.flows) / host.connection_limit for host in hosts]
        ),
        max_over_mean(
            [count_executions(host) - before[host.backend_id] for host in hosts]
        ),
    )
    trial.result.readings.append(reading)


def count_executions(server: FakeServer) -> int:
    """Return the number of requests that a server ran, of equal length."""
    return sum(server.runs_by_request.values())


def send_requests_on_all_flows(trial: Trial) -> None:
    """Send requests on every open flow within the window.

    The number of requests of a flow is exponentially distributed and derived
    from its key, so that a busy flow stays busy in every window.
    """
    fleet = trial.fleet
    traffic = Traffic(trial.service.name)
    usable = [
        caller_flow
        for caller_flow in fleet.flows_by_key.values()
        if is_usable(caller_flow)
    ]
    slots = trial.service.slots * len(undrained_hosts(trial))
    seconds = BUSY_SHARE * slots * WINDOW_SECONDS / max(len(usable), 1)
    for server in fleet.servers_by_id.values():
        server.service_seconds = seconds
    for caller_flow in usable:
        requests = round(random.Random(caller_flow.flow).expovariate(1))
        for _ in range(requests):
            schedule(
                fleet.queue,
                fleet.queue.rng.uniform(0, WINDOW_SECONDS),
                functools.partial(send_request, fleet, caller_flow, traffic),
            )


def join_host(trial: Trial) -> None:
    """Start an additional host, which is ready after three seconds."""
    count = trial.service.hosts + 1
    server = servers_of(trial.service, count)[-1]
    server.state = BackendState.STARTING
    add_server(trial.fleet, server)

    def become_ready() -> None:
        server.state = BackendState.READY

    schedule(trial.fleet.queue, STARTUP_SECONDS, become_ready)


def run_trial(
    service: Service, logic: Logic, weighting: Weighting, seed: int
) -> TrialResult:
    """Drain a host, restore it and add one; measure before and after each."""
    trial = start_trial(service, logic, weighting, seed)
    start_callers(trial, steady_callers(service))
    run_and_read(trial, 'settled', SETTLED_AT)
    drained_servers = f'{service.name}-1'
    trial.drained_servers.add(drained_servers)
    edit_pool(trial, drained=(drained_servers,))
    run_and_read(trial, 'drain + 60 s', SETTLED_AT + STEP_SECONDS)
    trial.drained_servers.clear()
    edit_pool(trial, drained=())
    run_and_read(trial, 'return + 60 s', SETTLED_AT + 2 * STEP_SECONDS)
    join_host(trial)
    joined = SETTLED_AT + 3 * STEP_SECONDS + STARTUP_SECONDS
    run_and_read(trial, 'join + 60 s', joined)
    return collect_result(trial)


def run_over_capacity(
    service: Service, logic: Logic, weighting: Weighting, seed: int
) -> TrialResult:
    """Offer 110 % of the connections that the hosts can hold."""
    trial = start_trial(service, logic, weighting, seed)
    offered = capacity_of(service) * OVERLOAD_FACTOR / FILL_SECONDS
    start_callers(trial, [CallerGroup(offered, LONG_SECONDS, FILLED_AT)])
    run_and_read(trial, 'offered 110 %', FILLED_AT + WINDOW_SECONDS)
    open_connections = sum(len(host.flows) for host in undrained_hosts(trial))
    result = collect_result(trial)
    result.filled = open_connections / capacity_of(service)
    return result


def collect_result(trial: Trial) -> TrialResult:
    """Complete the result with the counts of flows, packets and refusals."""
    fleet = trial.fleet
    result = trial.result
    result.relayed = fleet.relayed / max(fleet.packets, 1)
    result.refused_opens = sum(
        server.refused_opens for server in fleet.servers_by_id.values()
    )
    result.broken = len(broken_flows(fleet))
    result.opened = sum(
        caller_flow.opened_at is not None
        for caller_flow in fleet.flows_by_key.values()
    )
    return result
