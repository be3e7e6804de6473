"""No opening goes to a full host, and the capacity is used nevertheless."""

from collections import Counter

from tools.fakes.event_queue import run_until
from tools.fakes.fleet import PRODUCT, Fleet, make_fleet
from tools.fakes.naive import LEAST_REPORTED_CONNECTIONS
from tools.fakes.servers import make_servers
from tools.fakes.traffic import FlowNumbers, Traffic, start_traffic
from tools.registry import Proof, Violation

BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
HOSTS = 3
CONNECTION_LIMIT = 200
OPENINGS_PER_SECOND = 100
FLOW_SECONDS = 60
LOSS = 0.01
END = 10.0
MIN_FILL = 0.9


def make_full_fleet(seed: int, *, naive: bool) -> Fleet:
    """Make a fleet whose callers open more flows than its pool can hold."""
    logic = LEAST_REPORTED_CONNECTIONS if naive else PRODUCT
    servers = make_servers('werkstatt', HOSTS)
    for number, server in enumerate(servers):
        server.connection_limit = CONNECTION_LIMIT
        server.lag_reports = number
    fleet = make_fleet(seed, logic, BALANCERS, servers)
    fleet.network.loss = LOSS
    traffic = Traffic(
        'werkstatt',
        openings_per_second=OPENINGS_PER_SECOND,
        flow_seconds=FLOW_SECONDS,
        upload_seconds=END,
    )
    start_traffic(fleet, traffic, END, FlowNumbers())
    return fleet


def run_full_host(seed: int, *, naive: bool) -> list[Violation]:
    """Fill a pool under delayed reports and message loss."""
    fleet = make_full_fleet(seed, naive=naive)
    run_until(fleet.queue, END)
    servers = fleet.servers_by_id.values()
    refused = sum(server.refused_opens for server in servers)
    filled = sum(len(server.flows) for server in servers)
    reasons = Counter(
        reason
        for caller_flow in fleet.flows_by_key.values()
        for reason in caller_flow.refusals
    )
    violations = []
    if refused:
        violations.append(
            Violation(
                'an opening never goes to a full host',
                f'{refused} openings reached a full host',
            )
        )
    if filled < MIN_FILL * HOSTS * CONNECTION_LIMIT:
        violations.append(
            Violation(
                'openings are refused only when capacity is gone',
                f'{filled} flows of {HOSTS * CONNECTION_LIMIT} are held',
            )
        )
    if set(reasons) != {'no-capacity'}:
        violations.append(
            Violation('a refused opening says why', f'reasons: {reasons}')
        )
    return violations


PROOFS = (
    Proof(
        'full-host',
        'no opening goes to a full host while a pool fills up',
        run_full_host,
        ci_seeds=3,
    ),
)
