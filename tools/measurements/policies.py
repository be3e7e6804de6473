"""Measures broken flows against imbalance for placement policies."""

from collections.abc import Iterator
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from pathlib import Path

from matplotlib import rc_context
from matplotlib.figure import Figure

from mustardhold.tables.routing import Weighting
from tools.fakes import policies
from tools.fakes.deployments import ORDER_DESK
from tools.fakes.fleet import PRODUCT, Logic
from tools.fakes.naive import (
    LEAST_REPORTED_CONNECTIONS,
    LOCAL_FLOW_TABLE,
    MODULO_HASH,
    make_round_robin,
)
from tools.fakes.trial import TrialResult, run_trial
from tools.registry import Cell, Measurement, Table

SEED = 2
MILLION = 1_000_000
PLOT_FILE = Path(__file__).parents[2] / 'docs' / 'design' / 'policies.svg'


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy for placing flows on servers.

    Attributes
    ----------
    scope
        Context in which the policy replaces the product's server selection.
    """

    name: str
    logic: Logic = PRODUCT
    weighting: Weighting = Weighting.BALANCE
    scope: AbstractContextManager[None] = field(default_factory=nullcontext)


@dataclass(frozen=True, slots=True)
class Point:
    """Measured results of a policy."""

    name: str
    imbalance: float
    broken: int
    relayed: float


def all_policies() -> Iterator[Policy]:
    """Yield the product, other selections at the owners, and naive versions."""
    yield Policy('ours, balance')
    yield Policy('ours, affinity', weighting=Weighting.AFFINITY)
    yield Policy(
        'owners, two choices',
        scope=policies.override_selection(policies.two_choices),
    )
    yield Policy(
        'owners, bounded hash',
        scope=policies.override_selection(policies.bounded_hash),
    )
    yield Policy(
        'owners, weighted turns',
        scope=policies.override_selection(policies.make_weighted_round_robin()),
    )
    yield Policy('modulo hash', MODULO_HASH)
    yield Policy('flow table each', LOCAL_FLOW_TABLE)
    yield Policy('round robin', make_round_robin())
    yield Policy('reports believed', LEAST_REPORTED_CONNECTIONS)


def run_policy(policy: Policy) -> TrialResult:
    """Run a trial of the service with a policy."""
    with policy.scope:
        return run_trial(ORDER_DESK, policy.logic, policy.weighting, SEED)


def make_point(name: str, outcome: TrialResult) -> Point:
    """Summarise a trial."""
    return Point(
        name,
        round(max(one.connections for one in outcome.readings), 3),
        round(outcome.broken * MILLION / max(outcome.opened, 1)),
        round(outcome.relayed, 3),
    )


def draw_points(points: list[Point]) -> None:
    """Plot the policies for the design notes."""
    figure = Figure(figsize=(7, 4.5))
    axes = figure.subplots()
    for point in points:
        axes.scatter(point.imbalance, point.broken)
        axes.annotate(
            point.name,
            (point.imbalance, point.broken),
            textcoords='offset points',
            xytext=(5, 4),
            fontsize=8,
        )
    axes.set_yscale('symlog', linthresh=10)
    axes.set_xlabel('connections, maximum over mean (worst of four moments)')
    axes.set_ylabel('broken flows per million')
    # Without a fixed salt and date, the file would differ between runs.
    with rc_context({'svg.hashsalt': 'policies'}):
        figure.savefig(PLOT_FILE, metadata={'Date': None})


def measure_policies() -> Table:
    """Run and plot all policies."""
    points = [
        make_point(policy.name, run_policy(policy)) for policy in all_policies()
    ]
    draw_points(points)
    rows: list[tuple[Cell, ...]] = [
        (point.name, point.imbalance, point.broken, point.relayed)
        for point in points
    ]
    return Table(
        (
            'policy',
            'connections max/mean',
            'broken per million',
            'relayed share',
        ),
        rows,
        (
            f'seed {SEED}; order-desk, 7 hosts',
            'the worst of: settled, drain, return and join + 60 s',
        ),
    )


MEASUREMENTS = (
    Measurement(
        'policies',
        'broken flows against imbalance for every policy, as a picture',
        measure_policies,
    ),
)
