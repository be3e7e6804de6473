"""Starts the whole path, serves requests and edits a pool live."""

import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from mustardhold.daemons.operator import fetch_table, make_edit, send_edit
from mustardhold.tables.outcomes import Ok
from mustardhold.tables.routing import Pool, Route
from standins import caller
from tools import processes

FLOWS_PER_SERVICE = 20
REQUESTS_PER_FLOW = 6
SETTLE_SECONDS = 1.5
PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Deployment:
    """One of the two deployments, as small as the demo needs it."""

    name: str
    data_centre: str
    hosts_by_service: dict[str, int]
    slots: int
    address_by_service: dict[str, str]


SEEWINKEL = Deployment(
    'Seewinkel',
    'neusiedl-1',
    {'werkstatt': 2, 'katalog': 1},
    2,
    {'werkstatt': '10.20.0.1:443', 'katalog': '10.20.0.2:443'},
)
HA_NGOC = Deployment(
    'Hà Ngọc',
    'bac-bo-1',
    {'order-desk': 2, 'catalogue': 1},
    3,
    {'order-desk': '10.30.0.1:443', 'catalogue': '10.30.0.2:443'},
)


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


@dataclass(slots=True)
class RunningPath:
    """Addresses of a running path."""

    fabric: str
    control: str
    balancers: list[str]


def start_path(fleet: processes.Fleet, deployment: Deployment) -> RunningPath:
    """Start one control replica, two balancers, a fabric and the servers."""
    control = processes.free_tcp_address()
    processes.start_program(
        fleet,
        'control',
        {
            'instance_id': 'control-1',
            'data_centre': deployment.data_centre,
            'http_address': control,
            'folder': str(fleet.folder / 'control-1'),
            'replicas': [],
        },
    )
    settings = [
        balancer_settings(f'balancer-{number}', deployment, control)
        for number in (1, 2)
    ]
    group = [
        {
            key: one[key]
            for key in ('instance_id', 'data_centre', 'peer_address')
        }
        for one in settings
    ]
    for one in settings:
        processes.start_program(fleet, 'balancer', {**one, 'group': group})
    https = [str(one['http_address']) for one in settings]
    for address in (control, *https):
        processes.wait_ready(address)
    fabric = processes.free_address()
    sprayed = [
        f'--balancer={one["data_address"]},{one["http_address"]}'
        for one in settings
    ]
    processes.start(
        fleet, 'fabric', 'standins.fabric', f'--listen={fabric}', *sprayed
    )
    start_servers(fleet, deployment, fabric, https)
    return RunningPath(fabric, control, https)


def balancer_settings(
    name: str, deployment: Deployment, control: str
) -> dict[str, object]:
    """Choose the settings of a balancer, but for its group."""
    return {
        'instance_id': name,
        'data_centre': deployment.data_centre,
        'data_address': processes.free_address(),
        'peer_address': processes.free_address(),
        'http_address': processes.free_tcp_address(),
        'control_addresses': [control],
    }


def start_servers(
    fleet: processes.Fleet,
    deployment: Deployment,
    fabric: str,
    balancers: list[str],
) -> None:
    """Start the backend servers of every service."""
    announce = [f'--announce={address}' for address in balancers]
    for service, hosts in deployment.hosts_by_service.items():
        for number in range(1, hosts + 1):
            name = f'{service}-{number}'
            processes.start(
                fleet,
                name,
                'standins.backend_server',
                f'--id={name}',
                f'--pool={service}',
                f'--data-centre={deployment.data_centre}',
                f'--listen={processes.free_address()}',
                f'--fabric={fabric}',
                f'--slots={deployment.slots}',
                *announce,
            )


def put_entry(control: str, entry: Route | Pool) -> None:
    """Edit an entry as an operator does."""
    table = fetch_table([control])
    assert isinstance(table, Ok)
    sent = send_edit([control], make_edit(table.value, entry, None))
    print(f'edit of {type(entry).__name__.lower()} {entry.name}: {sent}')


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
    for service, address in deployment.address_by_service.items():
        put_entry(path.control, Route(service, (address,)))
        put_entry(path.control, Pool(service))
    await trio.sleep(SETTLE_SECONDS)
    async with trio.open_nursery() as nursery:
        for service, address in deployment.address_by_service.items():
            for _ in range(FLOWS_PER_SERVICE):
                nursery.start_soon(use_service, path, service, address, tally)
        await trio.sleep(PAUSE_SECONDS)
        edited = next(iter(deployment.hosts_by_service))
        put_entry(path.control, Pool(edited, drained=(f'{edited}-1',)))
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
