"""Control replicas and balancers as separate processes."""

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import httpx
import msgspec

from mustardhold.daemons.operator_client import fetch, send_edit
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import (
    Accepted,
    Edit,
    EntryKind,
    Pool,
    RepeatedEdit,
    RoutingTable,
)
from mustardhold.tables.status import BalancerStatus, ControlStatus
from tools import processes

WAIT_SECONDS = 20
POLL_SECONDS = 0.2


@dataclass(slots=True)
class ControlFleet:
    """Running control replicas and balancers.

    Attributes
    ----------
    address_by_name
        HTTP addresses of all replicas and balancers.
    settings_by_name
        Settings of the replicas, to start them again.
    """

    fleet: processes.Fleet
    address_by_name: dict[str, str] = field(default_factory=dict)
    settings_by_name: dict[str, dict[str, object]] = field(default_factory=dict)

    def controls(self) -> list[str]:
        """Return the addresses of the control replicas."""
        return [self.address_by_name[name] for name in self.settings_by_name]


def start_controls(fleet: processes.Fleet, count: int) -> ControlFleet:
    """Start control replicas and wait until one of them leads."""
    names = [f'c{number}' for number in range(1, count + 1)]
    running = ControlFleet(fleet)
    replicas = [
        {
            'instance_id': name,
            'data_centre': 'dc-1',
            'http_address': processes.free_tcp_address(),
        }
        for name in names
    ]
    for replica in replicas:
        name = replica['instance_id']
        settings: dict[str, object] = {
            **replica,
            'folder': str(fleet.folder / name),
            'replicas': replicas,
        }
        running.settings_by_name[name] = settings
        running.address_by_name[name] = replica['http_address']
        start_control(running, name)
    wait_for(lambda: leader_of(running) is not None, 'a leader')
    return running


def start_control(running: ControlFleet, name: str) -> None:
    """Start a replica on what its folder holds."""
    processes.start_program(
        running.fleet, 'control', running.settings_by_name[name]
    )


def start_balancer(
    running: ControlFleet,
    name: str,
    table_peers: tuple[str, ...] = (),
) -> None:
    """Start a balancer that keeps its table in a folder."""
    address = processes.free_tcp_address()
    peer_address = processes.free_address()
    group = [
        {
            'instance_id': name,
            'data_centre': 'dc-1',
            'peer_address': peer_address,
        }
    ]
    running.address_by_name[name] = address
    processes.start_program(
        running.fleet,
        'balancer',
        {
            **group[0],
            'data_address': processes.free_address(),
            'http_address': address,
            'control_addresses': running.controls(),
            'group': group,
            'folder': str(running.fleet.folder / name),
            'table_peers': list(table_peers),
        },
    )
    processes.wait_ready(address)


def wait_for(is_met: Callable[[], bool], what: str) -> float:
    """Wait for a condition.

    Returns
    -------
    float
        Seconds that it took.

    Raises
    ------
    TimeoutError
        If it is not met within ``WAIT_SECONDS``.
    """
    began = time.monotonic()
    while time.monotonic() < began + WAIT_SECONDS:
        if is_met():
            return time.monotonic() - began
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'waited {WAIT_SECONDS} s for {what}')


def status_at(running: ControlFleet, name: str) -> ControlStatus | None:
    """Ask a replica for its status."""
    page = fetch([running.address_by_name[name]], '/status')
    if isinstance(page, Err):
        return None
    return msgspec.json.decode(page.value, type=ControlStatus)


def leader_of(running: ControlFleet) -> str | None:
    """Find the replica that leads a majority."""
    for name in running.settings_by_name:
        if name not in running.fleet.processes_by_name:
            continue
        status = status_at(running, name)
        if status is not None and status.has_quorum:
            return name
    return None


def signal_process(running: ControlFleet, name: str, number: int) -> None:
    """Send a signal to a process of the fleet."""
    running.fleet.processes_by_name[name].send_signal(number)


def kill_process(running: ControlFleet, name: str) -> None:
    """End a process at once."""
    process = running.fleet.processes_by_name.pop(name)
    process.send_signal(signal.SIGKILL)
    process.communicate()


def put_pool(
    running: ControlFleet, edit_id: str, name: str, version: int
) -> int | None:
    """Edit a pool until the outcome is certain.

    Returns
    -------
    int or None
        The version of the table, where the edit was accepted.
    """
    pool = Pool(name, drained=(edit_id,))
    edit = Edit(edit_id, EntryKind.POOL, name, version, pool=pool)
    end = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < end:
        sent = send_edit(running.controls(), edit)
        if not isinstance(sent, Err):
            outcome = sent.value
            first = (
                outcome.first if isinstance(outcome, RepeatedEdit) else outcome
            )
            if isinstance(first, Accepted):
                return first.version
        time.sleep(POLL_SECONDS)
    return None


def table_at(running: ControlFleet, name: str) -> RoutingTable | None:
    """Ask a replica for its table."""
    page = fetch([running.address_by_name[name]], '/table')
    if isinstance(page, Err):
        return None
    return msgspec.json.decode(page.value, type=RoutingTable)


def version_at(running: ControlFleet, name: str) -> int:
    """Ask a balancer for the version that it has in force."""
    address = running.address_by_name[name]
    reply = httpx.get(f'http://{address}/status', timeout=2)
    return msgspec.json.decode(reply.content, type=BalancerStatus).table_version
