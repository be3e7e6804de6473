"""Counts broken flows in planned changes and losses, for product and naive."""

from collections.abc import Sequence
from dataclasses import dataclass

from tools.fakes.fleet import PRODUCT, Logic
from tools.fakes.naive import LOCAL_FLOW_TABLE, MODULO_HASH
from tools.fakes.servers import FakeServer, make_servers
from tools.fakes.traffic import broken_flows
from tools.proofs import owner_loss, planned_change
from tools.proofs.faults import Fault, Scenario, run_scenario
from tools.registry import Cell, Measurement, Table

SEEDS = (1, 2)
MILLION = 1_000_000
LOGICS: tuple[Logic, ...] = (PRODUCT, LOCAL_FLOW_TABLE, MODULO_HASH)


@dataclass(frozen=True, slots=True)
class DeploymentHosts:
    """Numbers of hosts and slots for the two services of one deployment."""

    name: str
    large: str
    small: str
    small_hosts: int
    slots: int


DEPLOYMENTS = (
    DeploymentHosts('Seewinkel', 'werkstatt', 'katalog', 3, 2),
    DeploymentHosts('Hà Ngọc', 'order-desk', 'catalogue', 4, 3),
)
PLANNED: tuple[tuple[str, Fault], ...] = (
    ('rolling restart of all balancers', planned_change.restart_all),
    ('a balancer joins', planned_change.join),
    ('a balancer leaves', planned_change.leave),
    ('a server is drained', planned_change.drain),
    ('a pool is narrowed, then widened', planned_change.reweight),
)
LOSSES: tuple[tuple[str, Fault], ...] = (
    ('one balancer lost', owner_loss.lose_one),
    ('two lost, 10 s apart', owner_loss.lose_two_apart),
    ('two lost at once', owner_loss.lose_two_at_once),
    ('second lost after the repair', owner_loss.lose_second_after_repair),
    ('one crashes and starts again', owner_loss.lose_and_restart),
)


def make_hosts(deployment: DeploymentHosts) -> tuple[FakeServer, ...]:
    """Create the hosts of both services."""
    return (
        *make_servers(deployment.large, 7, slots=deployment.slots),
        *make_servers(
            deployment.small, deployment.small_hosts, slots=deployment.slots
        ),
    )


def count_broken(
    deployment: DeploymentHosts, logic: Logic, faults: Sequence[Fault]
) -> tuple[int, int]:
    """Return the numbers of broken flows and of all flows over the seeds."""
    broken = 0
    flows = 0
    for seed in SEEDS:
        scenario = Scenario(
            tuple(faults), openings_per_second=40, flow_seconds=30
        )
        fleet = run_scenario(seed, logic, scenario, make_hosts(deployment))
        broken += len(broken_flows(fleet))
        flows += len(fleet.flows_by_key)
    return broken, flows


def measure_event(
    deployment: DeploymentHosts, kind: str, name: str, fault: Fault
) -> tuple[Cell, ...]:
    """Run one event with the product and the naive versions."""
    cells: list[Cell] = [deployment.name, kind, name]
    flows = 0
    for logic in LOGICS:
        broken, flows = count_broken(deployment, logic, (fault,))
        cells.append(round(broken * MILLION / flows))
    return (*cells, flows)


def run_broken_flows() -> Table:
    """Measure every event in both deployments."""
    rows = [
        measure_event(deployment, kind, name, fault)
        for deployment in DEPLOYMENTS
        for kind, events in (('planned', PLANNED), ('loss', LOSSES))
        for name, fault in events
    ]
    return Table(
        (
            'deployment',
            'kind',
            'event',
            'ours (broken per million)',
            'flow table in each balancer',
            'hash modulo servers',
            'flows',
        ),
        rows,
        (
            (
                '5 balancers in one data centre; each service opens 40 flows '
                f'a second from 3 s to 22 s; seeds {SEEDS}; the event at 7 s.'
            ),
            (
                'Virtual time; a flow is broken if it is ended, answered by '
                'two servers or silent at the end although its server lives.'
            ),
        ),
    )


MEASUREMENTS = (
    Measurement(
        'broken-flows',
        'broken flows per million in each change and loss, beside naive ones',
        run_broken_flows,
    ),
)
