"""Runs two deployments with live traffic, and drains a backend server in each.

Each deployment runs control replicas, balancers, a fabric and backend servers
as processes. An operator drains a backend server while callers are served.
Exits with 0 only if every promise held.
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
    RunEnd,
    count_violations,
    print_columns,
    print_violations,
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
WAVE_SECONDS = 1.0
AFTER_DRAIN_SECONDS = 3.0
POLL_SECONDS = 0.02
INSTALL_TIMEOUT_SECONDS = 10.0


@dataclass(slots=True)
class DrainResult:
    """Time from the drain until every balancer had it."""

    installed_seconds: float = 0


def print_step(text: str) -> None:
    """Print a step of the demo."""
    print(f'   {text}', flush=True)


def drained_host(deployment: Deployment) -> str:
    """Return the id of the backend server that is drained."""
    return f'{next(iter(deployment.hosts_by_service))}-1'


def drain_host(running: RunningDeployment, deployment: Deployment) -> float:
    """Drain a host; return the seconds until every balancer has the edit."""
    host = drained_host(deployment)
    started = time.monotonic()
    service = host.rpartition('-')[0]
    pool = Pool(service, drained=(host,), weighting=deployment.weighting)
    edit_result = put_entry(running, pool)
    assert isinstance(edit_result, Ok)
    assert isinstance(edit_result.value, Accepted), edit_result
    version = edit_result.value.version
    while time.monotonic() - started < INSTALL_TIMEOUT_SECONDS:
        statuses = [
            read_status(one) for one in running.balancer_http_addresses()
        ]
        if all(one and one.table_version >= version for one in statuses):
            break
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


def start_wave(
    nursery: trio.Nursery,
    running: RunningDeployment,
    deployment: Deployment,
    traffic: Traffic,
    wave: int,
) -> None:
    """Start the sessions of one wave for every service."""
    for service, address in deployment.address_by_service.items():
        for number in range(FLOWS_PER_WAVE):
            session = Session(service, wave, f'{service} {wave} {number}')
            nursery.start_soon(run_session, running, traffic, session, address)


async def serve_and_drain(
    running: RunningDeployment, deployment: Deployment, traffic: Traffic
) -> DrainResult:
    """Serve callers of every service before and after draining a host."""
    result = DrainResult()
    in_thread = trio.to_thread.run_sync
    async with trio.open_nursery() as nursery:
        start_wave(nursery, running, deployment, traffic, 1)
        await trio.sleep(WAVE_SECONDS)
        host = drained_host(deployment)
        result.installed_seconds = await in_thread(
            drain_host, running, deployment
        )
        print_step(
            f'drained {host}: in force on every balancer after '
            f'{result.installed_seconds:.2f} s'
        )
        await trio.sleep(AFTER_DRAIN_SECONDS)
        start_wave(nursery, running, deployment, traffic, 2)
        await trio.sleep(WAVE_SECONDS)
        traffic.stopping.set()
    return result


def run_deployment(deployment: Deployment) -> bool:
    """Run the demo of one deployment; return whether every promise held."""
    print(f'\n{deployment.name}, {deployment.data_centre}')
    traffic = Traffic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder))
        try:
            result = run_programs(fleet, deployment, traffic)
        finally:
            exits = processes.stop_all(fleet)
    run_end = RunEnd(exits, result.installed_seconds)
    print()
    print_columns(table_rows(traffic.sessions, deployment.hosts_by_service))
    print()
    host = drained_host(deployment)
    return print_violations(count_violations(traffic.sessions, run_end, host))


def run_programs(
    fleet: processes.Fleet, deployment: Deployment, traffic: Traffic
) -> DrainResult:
    """Start the programs of a deployment and run the traffic."""
    hosts = sum(deployment.hosts_by_service.values())
    print_step(
        f'starting {CONTROLS} control replicas, {BALANCERS} balancers, '
        f'a fabric and {hosts} backend servers'
    )
    running = start_deployment(fleet, deployment, BALANCERS, CONTROLS)
    configure_deployment(running, deployment)
    services = ' and '.join(deployment.address_by_service)
    print_step(f'serving {services}, {FLOWS_PER_WAVE} flows each and again')
    return trio.run(
        functools.partial(serve_and_drain, running, deployment, traffic)
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Run both deployments; return 0 only if all promises held."""
    parser = argparse.ArgumentParser('./run demo', description=__doc__)
    parser.parse_args(argv)
    results = [
        run_deployment(deployment) for deployment in (SEEWINKEL, HA_NGOC)
    ]
    print('\nall promises held' if all(results) else '\na promise was broken')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
