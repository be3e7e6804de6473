"""A rolling restart of every balancer interrupts no request and no flow.

It uses real processes on loopback, so it runs few seeds and waits for states
instead of fixed times.
"""

import functools
import random
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import trio

from standins import caller
from tools import processes
from tools.registry import Proof, Violation
from tools.running_deployment import (
    SEEWINKEL,
    RunningDeployment,
    configure_deployment,
    start_balancer,
    start_deployment,
    wait_serving,
)

BALANCERS = 3
FLOWS = 18
PAUSE_SECONDS = 0.04
REQUEST_SECONDS = 4.0
SERVERS = sum(SEEWINKEL.hosts_by_service.values())


@dataclass(slots=True)
class Observations:
    """Outcomes of requests and flows, and exit codes of balancers.

    Attributes
    ----------
    unanswered
        Service, outcome and reason of requests that were not answered.
    exit_codes
        Exit codes of stopped balancers.
    """

    answered: int = 0
    unanswered: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    exit_codes: list[int] = field(default_factory=list)
    is_over: bool = False


async def use_flow(
    deployment: RunningDeployment,
    service: str,
    observations: Observations,
    rng: random.Random,
) -> None:
    """Send requests on one flow until the restart is over."""
    address = SEEWINKEL.address_by_service[service]
    flow = await caller.connect(
        deployment.fabric, service, address, processes.LOOPBACK
    )
    number = 0
    while not observations.is_over:
        number += 1
        payload = f'{service} order {number}'.encode()
        answer = await caller.request(
            flow,
            payload,
            idempotent=number % 2 == 0,
            seconds=REQUEST_SECONDS,
            rng=rng,
        )
        if answer.body == b'%s %s' % (service.encode(), payload):
            observations.answered += 1
        else:
            observations.unanswered.append(
                f'{service} {answer.outcome} {answer.reason}'
            )
        await trio.sleep(rng.uniform(0.5, 1.5) * PAUSE_SECONDS)
    if flow.ended or len(flow.backend_ids) != 1:
        observations.broken.append(f'{service} at {sorted(flow.backend_ids)}')
    await caller.close(flow)


async def restart_all(
    deployment: RunningDeployment, observations: Observations, *, naive: bool
) -> None:
    """Restart one balancer after another; naive: kill two of them."""
    names = list(deployment.settings_by_balancer)
    # Two kills are sufficient to violate the promise.
    for name in names[:2] if naive else names:
        if naive:
            process = deployment.fleet.processes_by_name.pop(name)
            process.send_signal(signal.SIGKILL)
            await trio.to_thread.run_sync(process.communicate)
            observations.exit_codes.append(process.returncode)
        else:
            code, _ = await trio.to_thread.run_sync(
                processes.stop, deployment.fleet, name
            )
            observations.exit_codes.append(code)
        start_balancer(deployment, name)
        await trio.to_thread.run_sync(wait_serving, deployment, SERVERS)


async def use_services(
    deployment: RunningDeployment, seed: int, *, naive: bool
) -> Observations:
    """Restart the balancers under traffic and return the observations."""
    observations = Observations()
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        for number in range(FLOWS):
            service = list(SEEWINKEL.address_by_service)[number % 2]
            nursery.start_soon(
                use_flow,
                deployment,
                service,
                observations,
                random.Random(rng.random()),
            )
        await restart_all(deployment, observations, naive=naive)
        observations.is_over = True
    return observations


def find_violations(observations: Observations) -> list[Violation]:
    """Return the violations among the observations."""
    violations: list[Violation] = []
    if observations.unanswered:
        violations.append(
            Violation(
                'every planned stop cuts no request in progress',
                f'{len(observations.unanswered)} of '
                f'{observations.answered + len(observations.unanswered)} '
                f'requests were not '
                f'answered, first: {observations.unanswered[0]}',
            )
        )
    if observations.broken:
        violations.append(
            Violation(
                'a session survives any planned change',
                f'{len(observations.broken)} flows broke, '
                f'first: {observations.broken[0]}',
            )
        )
    if any(observations.exit_codes):
        violations.append(
            Violation(
                'every planned stop is a graceful shutdown',
                f'exit codes {observations.exit_codes}',
            )
        )
    return violations


def run_graceful_stop(seed: int, *, naive: bool) -> list[Violation]:
    """Restart every balancer under traffic; naive: kill two of them."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder))
        try:
            deployment = start_deployment(fleet, SEEWINKEL, BALANCERS)
            configure_deployment(deployment, SEEWINKEL)
            observations = trio.run(
                functools.partial(use_services, deployment, seed, naive=naive)
            )
        finally:
            processes.stop_all(fleet)
    return find_violations(observations)


PROOFS = (
    Proof(
        'graceful-stop',
        'a rolling restart of every balancer cuts no request and no flow',
        run_graceful_stop,
        seeds=2,
        ci_seeds=1,
    ),
)
