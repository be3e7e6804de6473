"""Measures imbalance, openings to full hosts, broken flows at real sizes."""

from collections.abc import Iterator

from mustardhold.tables.routing import Weighting
from tools.fakes.deployments import CATALOGUE, KATALOG, SERVICES, Service
from tools.fakes.fleet import PRODUCT, Logic
from tools.fakes.naive import LOCAL_FLOW_TABLE, MODULO_HASH, make_round_robin
from tools.fakes.trial import TrialResult, run_over_capacity, run_trial
from tools.registry import Cell, Measurement, Table

SEED = 1
MILLION = 1_000_000


def compared_versions() -> Iterator[tuple[str, Logic, Weighting]]:
    """Yield the product with both weightings, and the naive versions."""
    yield 'ours, affinity', PRODUCT, Weighting.AFFINITY
    yield 'ours, balance', PRODUCT, Weighting.BALANCE
    yield 'modulo hash', MODULO_HASH, Weighting.AFFINITY
    yield 'round robin', make_round_robin(), Weighting.AFFINITY
    yield 'flow table each', LOCAL_FLOW_TABLE, Weighting.AFFINITY


def make_rows(
    service: Service, name: str, outcome: TrialResult
) -> list[tuple[Cell, ...]]:
    """Return a row for each moment of a run."""
    hosts = f'{service.name} ({service.hosts} x {service.slots} slots)'
    broken = round(outcome.broken * MILLION / max(outcome.opened, 1))
    relayed = round(outcome.relayed, 3)
    whole_run = (outcome.refused_opens, broken, relayed)
    return [
        (
            hosts,
            name,
            reading.moment,
            round(reading.connections, 3),
            round(reading.busy_slots, 3),
            *whole_run,
        )
        for reading in outcome.readings
    ]


def measure_imbalance() -> Table:
    """Run every service with the product and the naive versions."""
    rows = [
        row
        for service in SERVICES
        for name, logic, weighting in compared_versions()
        for row in make_rows(
            service, name, run_trial(service, logic, weighting, SEED)
        )
    ]
    rows.extend(
        row
        for service in (KATALOG, CATALOGUE)
        for name, logic, weighting in compared_versions()
        for row in make_rows(
            service, name, run_over_capacity(service, logic, weighting, SEED)
        )
    )
    return Table(
        (
            'service',
            'balancers',
            'moment',
            'connections max/mean',
            'slots max/mean',
            'openings to full hosts',
            'broken per million',
            'relayed share',
        ),
        rows,
        (
            f'seed {SEED}; 5 balancers; hosts of 2,000 connections each',
            'balancers and hosts are spread over the data centres',
            'half of the connections last all day, the others 60 s on average',
            'slots: requests run in 10 s; how busy a flow is varies by flow',
            'the last three columns are of the whole run',
        ),
    )


MEASUREMENTS = (
    Measurement(
        'imbalance',
        'imbalance, full hosts and broken flows at both deployments',
        measure_imbalance,
    ),
)
