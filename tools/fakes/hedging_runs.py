"""Runs of a load with a few slow servers, with or without hedging."""

import math
from dataclasses import dataclass
from datetime import timedelta

from mustardhold.tables.hedging import HedgingOptions
from tools.fakes.callers import CallerRequest
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import PRODUCT, Fleet, make_fleet
from tools.fakes.request_runs import BALANCERS, caller_requests, collect_run
from tools.fakes.servers import make_servers
from tools.fakes.traffic import FlowNumbers, Traffic, start_traffic

SERVICE = 'katalog'
# As in the deployments that the page on uneven load names; two of them are
# slow, which is less than the 5 % that the percentile leaves out.
SERVERS = 60
SLOW_SERVERS = 2
SERVICE_SECONDS = 0.034
SLOW_FACTOR = 8
SLOW_FROM = 10.0
UNTIL = 40.0
SETTLE_SECONDS = 5.0
POLICY = HedgingOptions(0.1, timedelta(milliseconds=50), (SERVICE,))
TRAFFIC = Traffic(
    SERVICE,
    openings_per_second=12,
    flow_seconds=20,
    upload_seconds=60,
    request_seconds=1,
    idempotent_share=0.8,
    deadline_ms=2500,
    requests_until=UNTIL,
)


@dataclass(frozen=True, slots=True)
class HedgingResult:
    """What a run did to its idempotent requests after servers became slow.

    Attributes
    ----------
    latencies
        Times to whole answers, in seconds, sorted.
    runs
        Executions on all servers, of all requests.
    """

    fleet: Fleet
    requests: list[CallerRequest]
    latencies: list[float]
    runs: int

    def percentile(self, share: float) -> float:
        """Return a percentile of the latencies."""
        rank = math.ceil(len(self.latencies) * share) - 1
        return self.latencies[rank]

    def count(self, outcome: str) -> int:
        """Return a counter of the service, summed over all balancers."""
        return sum(
            tables.counters[SERVICE, outcome]
            for tables in self.fleet.balancers_by_id.values()
        )


def run_slow_servers(
    seed: int, hedging: HedgingOptions | None, traffic: Traffic = TRAFFIC
) -> HedgingResult:
    """Run a load of which some servers become slow."""
    servers = make_servers(SERVICE, SERVERS)
    for server in servers:
        server.service_seconds = SERVICE_SECONDS
    fleet = make_fleet(seed, PRODUCT, BALANCERS, servers, hedging)
    start_traffic(fleet, traffic, UNTIL, FlowNumbers())

    def slow_down() -> None:
        for server in servers[:SLOW_SERVERS]:
            server.service_seconds *= SLOW_FACTOR

    schedule(fleet.queue, SLOW_FROM, slow_down)
    run_until(fleet.queue, UNTIL + SETTLE_SECONDS)
    return summarise(fleet)


def summarise(fleet: Fleet) -> HedgingResult:
    """Collect the latencies and executions of a finished run."""
    requests = [
        request
        for _, request in caller_requests(fleet)
        if request.sent_at >= SLOW_FROM and request.request.idempotent
    ]
    latencies = sorted(
        request.first_outcome_at - request.sent_at
        for request in requests
        if request.first_outcome_at is not None
        and request.outcomes[0] == 'answered'
    )
    runs = collect_run((), fleet).runs_by_request.total()
    return HedgingResult(fleet, requests, latencies, runs)
