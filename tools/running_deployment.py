"""The whole path as processes: control, balancers, fabric and servers."""

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
    """One of the two deployments, as small as the demo needs it."""

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
    """A running path.

    Attributes
    ----------
    controls
        HTTP addresses of the control replicas.
    settings_by_balancer
        Settings of each balancer, to start it again.
    table_version
        Version that holds every service.
    """

    fleet: processes.Fleet
    fabric: str
    controls: list[str]
    settings_by_balancer: dict[str, Settings] = field(default_factory=dict)
    table_version: int = 0

    def http_address_of(self, name: str) -> str:
        """Find the HTTP address of a balancer."""
        return str(self.settings_by_balancer[name]['http_address'])

    def balancer_http_addresses(self) -> list[str]:
        """List the HTTP addresses of all balancers."""
        return [
            self.http_address_of(name) for name in self.settings_by_balancer
        ]


def start_deployment(
    fleet: processes.Fleet,
    deployment: Deployment,
    balancers: int = 2,
    controls: int = 1,
) -> RunningDeployment:
    """Start everything and wait until every process answers."""
    path = RunningDeployment(
        fleet,
        processes.free_address(),
        start_controls(fleet, deployment, controls),
    )
    start_balancers(path, deployment, balancers)
    start_fabric(path)
    start_servers(path, deployment)
    for address in (*path.controls, *path.balancer_http_addresses()):
        processes.wait_ready(address)
    return path


def start_controls(
    fleet: processes.Fleet, deployment: Deployment, count: int
) -> list[str]:
    """Start the control replicas, each with a folder of its own."""
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
    path: RunningDeployment, deployment: Deployment, count: int
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
        path.settings_by_balancer[name] = {
            **member,
            'data_address': processes.free_address(),
            'http_address': processes.free_tcp_address(),
            'control_addresses': path.controls,
            'group': group,
        }
        start_balancer(path, name)


def start_balancer(path: RunningDeployment, name: str) -> None:
    """Start a balancer, for the first time or again."""
    processes.start_program(
        path.fleet, 'balancer', path.settings_by_balancer[name]
    )


def start_fabric(path: RunningDeployment) -> None:
    """Start the fabric, which sprays over the balancers that are ready."""
    sprayed = [
        f'--balancer={one["data_address"]},{one["http_address"]}'
        for one in path.settings_by_balancer.values()
    ]
    processes.start(
        path.fleet,
        'fabric',
        'standins.fabric',
        f'--listen={path.fabric}',
        *sprayed,
    )


def start_servers(path: RunningDeployment, deployment: Deployment) -> None:
    """Start the backend servers of every service."""
    announce = [
        f'--announce={address}' for address in path.balancer_http_addresses()
    ]
    for service, hosts in deployment.hosts_by_service.items():
        for number in range(1, hosts + 1):
            name = f'{service}-{number}'
            processes.start(
                path.fleet,
                name,
                'standins.backend_server',
                f'--id={name}',
                f'--pool={service}',
                f'--data-centre={deployment.data_centre}',
                f'--listen={processes.free_address()}',
                f'--fabric={path.fabric}',
                f'--slots={deployment.slots}',
                *announce,
            )


def put_entry(
    path: RunningDeployment, entry: Route | Pool
) -> Outcome[AnyOutcome, str]:
    """Edit an entry as an operator does."""
    table = fetch_table(path.controls)
    assert isinstance(table, Ok)
    return send_edit(path.controls, make_edit(table.value, entry, None))


def put_entry_until_accepted(
    path: RunningDeployment, entry: Route | Pool
) -> int:
    """Edit an entry, again until the replicas have a leader.

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
        sent = put_entry(path, entry)
        if isinstance(sent, Ok) and isinstance(sent.value, Accepted):
            return sent.value.version
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{entry.name} was not accepted: {sent}')


def configure_deployment(
    path: RunningDeployment, deployment: Deployment
) -> None:
    """Make a route and a pool of each service; wait until they are served."""
    for service, address in deployment.address_by_service.items():
        put_entry_until_accepted(path, Route(service, (address,)))
        path.table_version = put_entry_until_accepted(
            path, Pool(service, weighting=deployment.weighting)
        )
    wait_serving(path, sum(deployment.hosts_by_service.values()))


def read_status(http_address: str) -> BalancerStatus | None:
    """Read a balancer's status; nothing while it does not answer."""
    try:
        reply = httpx.get(f'http://{http_address}/status', timeout=1)
    except httpx.HTTPError:
        return None
    return msgspec.json.decode(reply.content, type=BalancerStatus)


def is_serving(path: RunningDeployment, name: str, servers: int) -> bool:
    """Tell whether a balancer may be sprayed, and knows whole the group."""
    status = read_status(path.http_address_of(name))
    if status is None or not status.is_ready:
        return False
    if status.table_version < path.table_version:
        return False
    has_lease = status.lease_left is None or status.lease_left > 0
    is_whole = len(status.members) == len(path.settings_by_balancer)
    return has_lease and is_whole and len(status.backends) >= servers


def wait_serving(path: RunningDeployment, servers: int) -> None:
    """Wait until every balancer may be sprayed.

    Raises
    ------
    TimeoutError
        If that takes longer than ``SERVING_SECONDS``.
    """
    deadline = time.monotonic() + SERVING_SECONDS
    for name in path.settings_by_balancer:
        while not is_serving(path, name, servers):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{name} does not serve')
            time.sleep(POLL_SECONDS)
