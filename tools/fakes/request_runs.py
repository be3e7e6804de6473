"""Runs of request traffic under one or two faults chosen by a seed."""

import functools
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from mustardhold.tables.hedging import HedgingOptions
from tools.fakes.callers import CallerFlow, CallerRequest
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import (
    Fleet,
    Logic,
    freeze,
    kill,
    make_fleet,
    restart,
    start_balancer,
    thaw,
)
from tools.fakes.servers import make_servers
from tools.fakes.traffic import FlowNumbers, Traffic, start_traffic

BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
FAULT_AT = 6.0
TRAFFIC_END = 20.0
END = 45.0
ABSENT = 'b6'
RESTART_SECONDS = 3.0
ROLLING_SECONDS = 4.0
SHORT_FREEZE = 5.0
LONG_FREEZE = 30.0

Fault = Callable[[Fleet], None]


@dataclass(frozen=True, slots=True)
class Run:
    """A finished run.

    Attributes
    ----------
    runs_by_request
        Executions on all servers, by concatenated flow key and request id.
    """

    faults: tuple[str, ...]
    fleet: Fleet
    runs_by_request: Counter[bytes]
    run_times: dict[bytes, list[float]]


def lose_packets(fleet: Fleet) -> None:
    """Lose 5 % of all packets and messages."""
    fleet.network.loss = 0.05


def repeat_packets(fleet: Fleet) -> None:
    """Duplicate 10 % of all packets, except on links to backend servers."""
    fleet.network.repeats = 0.1


def delay_packets(fleet: Fleet) -> None:
    """Raise the delay to up to 50 ms, so that packets are reordered."""
    fleet.network.max_delay = 0.05


def shed_requests(fleet: Fleet) -> None:
    """Make the servers shed 30 % of the requests."""
    for server in fleet.servers_by_id.values():
        server.shed_share = 0.3


def slow_servers(fleet: Fleet) -> None:
    """Make 10 % of the requests take longer than their deadline."""
    for server in fleet.servers_by_id.values():
        server.slow_share = 0.1


def pick_balancer(fleet: Fleet) -> str:
    """Choose a random balancer that is neither stopped nor frozen."""
    names = [
        name
        for name in fleet.spray_targets
        if name not in fleet.backlog_by_frozen_balancer
    ]
    return fleet.queue.rng.choice(names)


def kill_balancer(fleet: Fleet) -> None:
    """Kill one balancer."""
    kill(fleet, pick_balancer(fleet))


def restart_balancer(fleet: Fleet) -> None:
    """Kill one balancer and restart it with empty tables."""
    name = pick_balancer(fleet)
    kill(fleet, name)
    schedule(fleet.queue, RESTART_SECONDS, lambda: start_balancer(fleet, name))


def restart_all(fleet: Fleet) -> None:
    """Perform a rolling restart of all balancers."""
    for number, name in enumerate(BALANCERS):
        schedule(
            fleet.queue,
            number * ROLLING_SECONDS,
            functools.partial(restart_unless_frozen, fleet, name),
        )


def restart_unless_frozen(fleet: Fleet, name: str) -> None:
    """Restart a balancer gracefully unless it is frozen."""
    if name not in fleet.backlog_by_frozen_balancer:
        restart(fleet, name)


def join_balancer(fleet: Fleet) -> None:
    """Start the balancer that has been down from the start."""
    start_balancer(fleet, ABSENT)


def freeze_for(fleet: Fleet, seconds: float) -> None:
    """Freeze one balancer for some seconds."""
    name = pick_balancer(fleet)
    freeze(fleet, name)
    schedule(fleet.queue, seconds, lambda: thaw(fleet, name))


FAULTS: dict[str, Fault] = {
    'loss': lose_packets,
    'repeats': repeat_packets,
    'delays': delay_packets,
    'shed': shed_requests,
    'slow': slow_servers,
    'kill': kill_balancer,
    'join': join_balancer,
    'restart': restart_balancer,
    'rolling': restart_all,
    'freeze-5': lambda fleet: freeze_for(fleet, SHORT_FREEZE),
    'freeze-30': lambda fleet: freeze_for(fleet, LONG_FREEZE),
}


def fault_sets() -> list[tuple[str, ...]]:
    """Return every single fault, then every pair of faults."""
    single_faults = [(name,) for name in FAULTS]
    return [*single_faults, *itertools.combinations(FAULTS, 2)]


def run_requests(
    seed: int,
    logic: Logic,
    traffic: Traffic,
    hedging: HedgingOptions | None = None,
) -> Run:
    """Run traffic under the set of faults that the seed selects."""
    sets = fault_sets()
    faults = sets[(seed * 7) % len(sets)]
    servers = make_servers('werkstatt', 7)
    names = (*BALANCERS, ABSENT)
    fleet = make_fleet(seed, logic, names, servers, hedging)
    kill(fleet, ABSENT)
    start_traffic(fleet, traffic, TRAFFIC_END, FlowNumbers())
    for name in faults:
        at = FAULT_AT + fleet.queue.rng.uniform(0, 2)
        schedule(fleet.queue, at, functools.partial(FAULTS[name], fleet))
    run_until(fleet.queue, END)
    return collect_run(faults, fleet)


def collect_run(faults: tuple[str, ...], fleet: Fleet) -> Run:
    """Collect the executions of requests from all servers."""
    runs: Counter[bytes] = Counter()
    run_times: dict[bytes, list[float]] = {}
    for server in fleet.servers_by_id.values():
        runs.update(server.runs_by_request)
        for key, times in server.run_times.items():
            run_times.setdefault(key, []).extend(times)
    return Run(faults, fleet, runs, run_times)


def caller_requests(fleet: Fleet) -> Iterator[tuple[CallerFlow, CallerRequest]]:
    """Yield all requests of all callers, each with its flow."""
    for caller_flow in fleet.flows_by_key.values():
        for request in caller_flow.requests_by_id.values():
            yield caller_flow, request


def count_executions(run: Run, request: CallerRequest) -> int:
    """Return how often a request ran on all servers."""
    packet = request.request
    return run.runs_by_request[packet.flow + packet.request_id]


def is_falsely_refused(run: Run, request: CallerRequest) -> bool:
    """Return whether a request that was reported as not run did run.

    Only an idempotent request may run after a refusal, and only if its caller
    resent it in between.
    """
    packet = request.request
    times = run.run_times.get(packet.flow + packet.request_id, ())
    for refused_at, ran_at in itertools.product(request.refused_at, times):
        is_resent = any(
            refused_at <= sent_at <= ran_at for sent_at in request.resent_at
        )
        if not (packet.idempotent and is_resent):
            return True
    return False
