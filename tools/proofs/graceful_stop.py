"""A rolling restart of every balancer cuts no request and no flow.

Real processes on loopback: a few seeds, and waits for states in place of
fixed times.
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
class Seen:
    """What callers and the operator saw.

    Attributes
    ----------
    unanswered
        Outcomes of requests that were not answered.
    exit_codes
        Exit codes of stopped balancers.
    """

    answered: int = 0
    unanswered: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    exit_codes: list[int] = field(default_factory=list)
    is_over: bool = False


async def use_flow(
    path: RunningDeployment, service: str, seen: Seen, rng: random.Random
) -> None:
    """Send requests on one flow until the restart is over."""
    address = SEEWINKEL.address_by_service[service]
    flow = await caller.connect(
        path.fabric, service, address, processes.LOOPBACK
    )
    number = 0
    while not seen.is_over:
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
            seen.answered += 1
        else:
            seen.unanswered.append(
                f'{service} {answer.outcome} {answer.reason}'
            )
        await trio.sleep(rng.uniform(0.5, 1.5) * PAUSE_SECONDS)
    if flow.ended or len(flow.backend_ids) != 1:
        seen.broken.append(f'{service} at {sorted(flow.backend_ids)}')
    await caller.close(flow)


async def restart_all(
    path: RunningDeployment, seen: Seen, *, naive: bool
) -> None:
    """Stop and start one balancer after another."""
    names = list(path.settings_by_balancer)
    # Two kills are enough to break the promise.
    for name in names[:2] if naive else names:
        if naive:
            process = path.fleet.processes_by_name.pop(name)
            process.send_signal(signal.SIGKILL)
            await trio.to_thread.run_sync(process.communicate)
            seen.exit_codes.append(process.returncode)
        else:
            code, _ = await trio.to_thread.run_sync(
                processes.stop, path.fleet, name
            )
            seen.exit_codes.append(code)
        start_balancer(path, name)
        await trio.to_thread.run_sync(wait_serving, path, SERVERS)


async def use_services(
    path: RunningDeployment, seed: int, *, naive: bool
) -> Seen:
    """Restart every balancer under traffic."""
    seen = Seen()
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        for number in range(FLOWS):
            service = list(SEEWINKEL.address_by_service)[number % 2]
            nursery.start_soon(
                use_flow, path, service, seen, random.Random(rng.random())
            )
        await restart_all(path, seen, naive=naive)
        seen.is_over = True
    return seen


def judge(seen: Seen) -> list[Violation]:
    """Name the promises that were seen broken."""
    violations: list[Violation] = []
    if seen.unanswered:
        violations.append(
            Violation(
                'every planned stop cuts no request in progress',
                f'{len(seen.unanswered)} of '
                f'{seen.answered + len(seen.unanswered)} requests were not '
                f'answered, first: {seen.unanswered[0]}',
            )
        )
    if seen.broken:
        violations.append(
            Violation(
                'a session survives any planned change',
                f'{len(seen.broken)} flows broke, first: {seen.broken[0]}',
            )
        )
    if any(seen.exit_codes):
        violations.append(
            Violation(
                'every planned stop is a graceful shutdown',
                f'exit codes {seen.exit_codes}',
            )
        )
    return violations


def run_graceful_stop(seed: int, *, naive: bool) -> list[Violation]:
    """Restart every balancer under traffic; naive: kill it at once."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder))
        try:
            path = start_deployment(fleet, SEEWINKEL, BALANCERS)
            configure_deployment(path, SEEWINKEL)
            seen = trio.run(
                functools.partial(use_services, path, seed, naive=naive)
            )
        finally:
            processes.stop_all(fleet)
    return judge(seen)


PROOFS = (
    Proof(
        'graceful-stop',
        'a rolling restart of every balancer cuts no request and no flow',
        run_graceful_stop,
        seeds=2,
        ci_seeds=1,
    ),
)
