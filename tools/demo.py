"""Starts the whole path, serves requests and edits a pool live."""

import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from mustardhold.tables.routing import Pool
from standins import caller
from tools import processes
from tools.running_path import (
    HA_NGOC,
    SEEWINKEL,
    Deployment,
    RunningPath,
    put_entry,
    serve_deployment,
    start_path,
)

FLOWS_PER_SERVICE = 20
REQUESTS_PER_FLOW = 6
PAUSE_SECONDS = 0.05


@dataclass(slots=True)
class Tally:
    """What the callers saw."""

    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    wrong_answers: int = 0
    broken_flows: int = 0


class Report(msgspec.Struct):
    """What a backend server saw, as it prints it when it stops."""

    foreign_packets: int
    runs_by_request: dict[str, int]


async def use_service(
    path: RunningPath, service: str, address: str, tally: Tally
) -> None:
    """Open a flow and send requests on it, the odd ones non-idempotent."""
    flow = await caller.connect(
        path.fabric, service, address, processes.LOOPBACK
    )
    if not flow.backend_ids:
        tally.outcomes[service, f'open refused: {flow.refused}'] += 1
        return
    for number in range(REQUESTS_PER_FLOW):
        payload = f'{service} order {number}'.encode()
        answer = await caller.request(flow, payload, idempotent=number % 2 == 0)
        tally.outcomes[service, answer.outcome] += 1
        if answer.outcome == 'not-run':
            tally.not_run.add(answer.request_id)
        expected = b'%s %s' % (service.encode(), payload)
        if answer.outcome == 'answered' and answer.body != expected:
            tally.wrong_answers += 1
        if not await caller.upload(flow, b'still here'):
            tally.outcomes[service, 'feed silent'] += 1
        await trio.sleep(PAUSE_SECONDS)
    if flow.ended or len(flow.backend_ids) > 1:
        tally.broken_flows += 1
    await caller.close(flow)


async def serve(path: RunningPath, deployment: Deployment) -> Tally:
    """Serve callers of every service while an operator edits a pool."""
    tally = Tally()
    async with trio.open_nursery() as nursery:
        for service, address in deployment.address_by_service.items():
            for _ in range(FLOWS_PER_SERVICE):
                nursery.start_soon(use_service, path, service, address, tally)
        await trio.sleep(PAUSE_SECONDS)
        edited = next(iter(deployment.hosts_by_service))
        drained = Pool(edited, drained=(f'{edited}-1',))
        sent = await trio.to_thread.run_sync(put_entry, path, drained)
        print(f'  drained {edited}-1 while callers were served: {sent}')
    return tally


def read_reports(endings: dict[str, tuple[int, str]]) -> list[Report]:
    """Read what the backend servers printed when they stopped."""
    return [
        msgspec.json.decode(output.splitlines()[-1], type=Report)
        for _, output in endings.values()
        if output.strip()
    ]


def count_faults(
    tally: Tally, endings: dict[str, tuple[int, str]]
) -> dict[str, int]:
    """Count each kind of broken promise."""
    reports = read_reports(endings)
    runs: Counter[str] = Counter()
    for report in reports:
        runs.update(report.runs_by_request)
    unanswered = (
        count
        for (_, outcome), count in tally.outcomes.items()
        if outcome != 'answered'
    )
    return {
        'broken flows': tally.broken_flows,
        'wrong answers': tally.wrong_answers,
        'requests run twice': sum(1 for count in runs.values() if count > 1),
        'not run, but ran': len(tally.not_run & set(runs)),
        'packets at a foreign server': sum(
            report.foreign_packets for report in reports
        ),
        'requests not answered': sum(unanswered),
        'programs that stopped badly': sum(
            1
            for name, (code, _) in endings.items()
            if code and name != 'fabric'
        ),
    }


def judge(
    deployment: Deployment,
    tally: Tally,
    endings: dict[str, tuple[int, str]],
) -> bool:
    """Print the table of outcomes and tell whether every promise held."""
    print(f'\n{deployment.name}')
    for (service, outcome), count in sorted(tally.outcomes.items()):
        print(f'  {service:<12} {outcome:<24} {count:>6}')
    faults = count_faults(tally, endings)
    for name, count in faults.items():
        print(f'  {name:<37} {count:>6}')
    return not any(faults.values())


def run_deployment(deployment: Deployment) -> bool:
    """Run the demo of one deployment."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder))
        try:
            path = start_path(fleet, deployment)
            serve_deployment(path, deployment)
            tally = trio.run(serve, path, deployment)
        finally:
            endings = processes.stop_all(fleet)
        return judge(deployment, tally, endings)


def main() -> int:
    """Run both deployments; exit 0 only if all promises held."""
    held = [run_deployment(deployment) for deployment in (SEEWINKEL, HA_NGOC)]
    print('\nall promises held' if all(held) else '\na promise was broken')
    return 0 if all(held) else 1


if __name__ == '__main__':
    sys.exit(main())
