"""Starts the whole path, serves callers, and changes it under them.

For each deployment: control replicas, balancers, a fabric and backend
servers as processes. While callers are served, an operator drains a backend
server. Exits 0 only if every promise held.
"""

import argparse
import functools
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import trio

from mustardhold.tables.outcomes import Ok
from mustardhold.tables.routing import Accepted, Pool
from tools import processes
from tools.demo_report import (
    Endings,
    count_breaches,
    print_breaches,
    print_columns,
    table_rows,
)
from tools.demo_traffic import Session, Traffic, run_session
from tools.running_deployment import (
    HA_NGOC,
    SEEWINKEL,
    Deployment,
    RunningDeployment,
    configure_deployment,
    put_entry,
    read_status,
    start_deployment,
)

BALANCERS = 3
CONTROLS = 3
FLOWS_PER_WAVE = 16
SERVED_SECONDS = 1.0
NO_NEW_WORK_SECONDS = 3.0
POLL_SECONDS = 0.02
MAX_IN_FORCE_SECONDS = 10.0


@dataclass(slots=True)
class Changes:
    """What the operator's changes came to."""

    in_force_seconds: float = 0


def tell(text: str) -> None:
    """Print a step of the demo."""
    print(f'   {text}', flush=True)


def drained_host(deployment: Deployment) -> str:
    """Choose the backend server that is drained."""
    return f'{next(iter(deployment.hosts_by_service))}-1'


def drain_host(path: RunningDeployment, deployment: Deployment) -> float:
    """Drain a host; return the seconds until every balancer knows."""
    host = drained_host(deployment)
    started = time.monotonic()
    service = host.rpartition('-')[0]
    pool = Pool(service, drained=(host,), weighting=deployment.weighting)
    sent = put_entry(path, pool)
    assert isinstance(sent, Ok)
    assert isinstance(sent.value, Accepted), sent
    version = sent.value.version
    while time.monotonic() - started < MAX_IN_FORCE_SECONDS:
        statuses = [read_status(one) for one in path.balancer_http_addresses()]
        if all(one and one.table_version >= version for one in statuses):
            break
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


def start_wave(
    nursery: trio.Nursery,
    path: RunningDeployment,
    deployment: Deployment,
    traffic: Traffic,
    wave: int,
) -> None:
    """Start sessions of every service."""
    for service, address in deployment.address_by_service.items():
        for number in range(FLOWS_PER_WAVE):
            session = Session(service, wave, f'{service} {wave} {number}')
            nursery.start_soon(run_session, path, traffic, session, address)


async def serve(
    path: RunningDeployment, deployment: Deployment, traffic: Traffic
) -> Changes:
    """Serve callers of every service while the operator changes things."""
    changes = Changes()
    in_thread = trio.to_thread.run_sync
    async with trio.open_nursery() as nursery:
        start_wave(nursery, path, deployment, traffic, 1)
        await trio.sleep(SERVED_SECONDS)
        host = drained_host(deployment)
        changes.in_force_seconds = await in_thread(drain_host, path, deployment)
        tell(
            f'drained {host}: in force on every balancer after '
            f'{changes.in_force_seconds:.2f} s'
        )
        await trio.sleep(NO_NEW_WORK_SECONDS)
        start_wave(nursery, path, deployment, traffic, 2)
        await trio.sleep(SERVED_SECONDS)
        traffic.ending.set()
    return changes


def run_deployment(deployment: Deployment) -> bool:
    """Run the demo of one deployment; tell whether every promise held."""
    print(f'\n{deployment.name}, {deployment.data_centre}')
    traffic = Traffic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder))
        try:
            changes = run_path(fleet, deployment, traffic)
        finally:
            ended = processes.stop_all(fleet)
    endings = Endings(ended, changes.in_force_seconds)
    print()
    print_columns(table_rows(traffic.sessions, deployment.hosts_by_service))
    print()
    host = drained_host(deployment)
    return print_breaches(count_breaches(traffic.sessions, endings, host))


def run_path(
    fleet: processes.Fleet, deployment: Deployment, traffic: Traffic
) -> Changes:
    """Start everything and serve callers."""
    hosts = sum(deployment.hosts_by_service.values())
    tell(
        f'starting {CONTROLS} control replicas, {BALANCERS} balancers, '
        f'a fabric and {hosts} backend servers'
    )
    path = start_deployment(fleet, deployment, BALANCERS, CONTROLS)
    configure_deployment(path, deployment)
    services = ' and '.join(deployment.address_by_service)
    tell(f'serving {services}, {FLOWS_PER_WAVE} flows each and again')
    return trio.run(functools.partial(serve, path, deployment, traffic))


def main(argv: Sequence[str] | None = None) -> int:
    """Run both deployments; exit 0 only if all promises held."""
    parser = argparse.ArgumentParser('./run demo', description=__doc__)
    parser.parse_args(argv)
    held = [run_deployment(deployment) for deployment in (SEEWINKEL, HA_NGOC)]
    print('\nall promises held' if all(held) else '\na promise was broken')
    return 0 if all(held) else 1


if __name__ == '__main__':
    sys.exit(main())
