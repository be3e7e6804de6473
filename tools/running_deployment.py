"""Runs control replicas, balancers, fabric and backend servers as processes."""

import time
from dataclasses import dataclass, field

import httpx
import msgspec

from mustardhold.daemons.operator_client import (
    AnyOutcome,
    fetch_table,
    make_edit,
    send_edit,
)
from mustardhold.tables.outcomes import Ok, Outcome
from mustardhold.tables.routing import Accepted, Pool, Route, Weighting
from mustardhold.tables.status import BalancerStatus
from tools import processes

SERVING_SECONDS = 20
POLL_SECONDS = 0.05

Settings = dict[str, object]


@dataclass(frozen=True, slots=True)
class Deployment:
    """Configuration of a small deployment with two services."""

    name: str
    data_centre: str
    hosts_by_service: dict[str, int]
    slots: int
    address_by_service: dict[str, str]
    weighting: Weighting


SEEWINKEL = Deployment(
    'Seewinkel',
    'neusiedl-1',
    {'werkstatt': 2, 'katalog': 1},
    2,
    {'werkstatt': '10.20.0.1:443', 'katalog': '10.20.0.2:443'},
    Weighting.AFFINITY,
)
HA_NGOC = Deployment(
    'Hà Ngọc',
    'bac-bo-1',
    {'order-desk': 2, 'catalogue': 1},
    3,
    {'order-desk': '10.30.0.1:443', 'catalogue': '10.30.0.2:443'},
    Weighting.BALANCE,
)


@dataclass(slots=True)
class RunningDeployment:
    """The processes of a running deployment.

    Attributes
    ----------
    controls
        HTTP addresses of the control replicas.
    settings_by_balancer
        Settings of each balancer, to restart it.
    table_version
        Version of the table that contains every service.
    """

    fleet: processes.Fleet
    fabric: str
    controls: list[str]
    settings_by_balancer: dict[str, Settings] = field(default_factory=dict)
    table_version: int = 0

    def http_address_of(self, name: str) -> str:
        """Return the HTTP address of a balancer."""
        return str(self.settings_by_balancer[name]['http_address'])

    def balancer_http_addresses(self) -> list[str]:
        """Return the HTTP addresses of all balancers."""
        return [
            self.http_address_of(name) for name in self.settings_by_balancer
        ]


def start_deployment(
    fleet: processes.Fleet,
    deployment: Deployment,
    balancers: int = 2,
    controls: int = 1,
) -> RunningDeployment:
    """Start all processes, and wait until replicas and balancers are ready."""
    running = RunningDeployment(
        fleet,
        processes.free_address(),
        start_controls(fleet, deployment, controls),
    )
    start_balancers(running, deployment, balancers)
    start_fabric(running)
    start_servers(running, deployment)
    for address in (*running.controls, *running.balancer_http_addresses()):
        processes.wait_ready(address)
    return running


def start_controls(
    fleet: processes.Fleet, deployment: Deployment, count: int
) -> list[str]:
    """Start the control replicas, each with its own data folder."""
    replicas = [
        {
            'instance_id': f'control-{number}',
            'data_centre': deployment.data_centre,
            'http_address': processes.free_tcp_address(),
        }
        for number in range(1, count + 1)
    ]
    for replica in replicas:
        settings: Settings = {
            **replica,
            'folder': str(fleet.folder / replica['instance_id']),
            'replicas': replicas,
        }
        processes.start_program(fleet, 'control', settings)
    return [replica['http_address'] for replica in replicas]


def start_balancers(
    running: RunningDeployment, deployment: Deployment, count: int
) -> None:
    """Start the balancers of one spray group."""
    group = [
        {
            'instance_id': f'balancer-{number}',
            'data_centre': deployment.data_centre,
            'peer_address': processes.free_address(),
        }
        for number in range(1, count + 1)
    ]
    for member in group:
        name = member['instance_id']
        running.settings_by_balancer[name] = {
            **member,
            'data_address': processes.free_address(),
            'http_address': processes.free_tcp_address(),
            'control_addresses': running.controls,
            'group': group,
        }
        start_balancer(running, name)


def start_balancer(running: RunningDeployment, name: str) -> None:
    """Start or restart a balancer."""
    processes.start_program(
        running.fleet, 'balancer', running.settings_by_balancer[name]
    )


def start_fabric(running: RunningDeployment) -> None:
    """Start the fabric, which sprays packets over the ready balancers."""
    balancer_options = [
        f'--balancer={balancer_settings["data_address"]},{balancer_settings["http_address"]}'
        for balancer_settings in running.settings_by_balancer.values()
    ]
    processes.start(
        running.fleet,
        'fabric',
        'standins.fabric',
        f'--listen={running.fabric}',
        *balancer_options,
    )


def start_servers(running: RunningDeployment, deployment: Deployment) -> None:
    """Start the backend servers of every service."""
    announce = [
        f'--announce={address}' for address in running.balancer_http_addresses()
    ]
    for service, hosts in deployment.hosts_by_service.items():
        for number in range(1, hosts + 1):
            name = f'{service}-{number}'
            processes.start(
                running.fleet,
                name,
                'standins.backend_server',
                f'--id={name}',
                f'--pool={service}',
                f'--data-centre={deployment.data_centre}',
                f'--listen={processes.free_address()}',
                f'--fabric={running.fabric}',
                f'--slots={deployment.slots}',
                *announce,
            )


def put_entry(
    running: RunningDeployment, entry: Route | Pool
) -> Outcome[AnyOutcome, str]:
    """Fetch the table and send an edit of one entry."""
    table = fetch_table(running.controls)
    assert isinstance(table, Ok)
    return send_edit(running.controls, make_edit(table.value, entry, None))


def put_entry_until_accepted(
    running: RunningDeployment, entry: Route | Pool
) -> int:
    """Send an edit of one entry until it is accepted.

    Returns
    -------
    int
        Version of the table with the edit.

    Raises
    ------
    TimeoutError
        If no replica accepts it within ``SERVING_SECONDS``.
    """
    deadline = time.monotonic() + SERVING_SECONDS
    while time.monotonic() < deadline:
        result = put_entry(running, entry)
        if isinstance(result, Ok) and isinstance(result.value, Accepted):
            return result.value.version
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{entry.name} was not accepted: {result}')


def configure_deployment(
    running: RunningDeployment, deployment: Deployment
) -> None:
    """Create the routes and pools; wait until every balancer serves them."""
    for service, address in deployment.address_by_service.items():
        put_entry_until_accepted(running, Route(service, (address,)))
        running.table_version = put_entry_until_accepted(
            running, Pool(service, weighting=deployment.weighting)
        )
    wait_serving(running, sum(deployment.hosts_by_service.values()))


def read_status(http_address: str) -> BalancerStatus | None:
    """Fetch the status of a balancer, or None if it does not respond."""
    try:
        response = httpx.get(f'http://{http_address}/status', timeout=1)
    except httpx.HTTPError:
        return None
    return msgspec.json.decode(response.content, type=BalancerStatus)


def is_serving(running: RunningDeployment, name: str, servers: int) -> bool:
    """Return whether a balancer is ready, up to date, and has all members.

    It must also know at least ``servers`` backend servers.
    """
    status = read_status(running.http_address_of(name))
    if status is None or not status.is_ready:
        return False
    if status.table_version < running.table_version:
        return False
    has_lease = status.lease_left is None or status.lease_left > 0
    has_all_members = len(status.members) == len(running.settings_by_balancer)
    return has_lease and has_all_members and len(status.backends) >= servers


def describe_balancers(running: RunningDeployment) -> str:
    """Describe what ``is_serving`` judges, for every balancer."""
    lines = []
    for name in running.settings_by_balancer:
        status = read_status(running.http_address_of(name))
        lines.append(
            f'{name}: ready {status.is_ready}, table {status.table_version}, '
            f'members {status.members}, servers {len(status.backends)}, '
            f'lease {status.lease_left}'
            if status
            else f'{name}: no status'
        )
    return '; '.join(lines)


def wait_serving(running: RunningDeployment, servers: int) -> None:
    """Wait until every balancer can serve all servers.

    Raises
    ------
    TimeoutError
        If it takes longer than ``SERVING_SECONDS``.
    """
    deadline = time.monotonic() + SERVING_SECONDS
    for name in running.settings_by_balancer:
        while not is_serving(running, name, servers):
            if time.monotonic() > deadline:
                state = describe_balancers(running)
                raise TimeoutError(f'{name} is not serving: {state}')
            time.sleep(POLL_SECONDS)
