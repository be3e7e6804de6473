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
        Settings of the replicas, to restart them.
    """

    fleet: processes.Fleet
    address_by_name: dict[str, str] = field(default_factory=dict)
    settings_by_name: dict[str, dict[str, object]] = field(default_factory=dict)

    def controls(self) -> list[str]:
        """Return the addresses of the control replicas."""
        return [self.address_by_name[name] for name in self.settings_by_name]


def start_controls(fleet: processes.Fleet, count: int) -> ControlFleet:
    """Start control replicas and wait until they have a leader."""
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
    """Start or restart a replica with its data folder."""
    processes.start_program(
        running.fleet, 'control', running.settings_by_name[name]
    )


def start_balancer(
    running: ControlFleet,
    name: str,
    table_peers: tuple[str, ...] = (),
) -> None:
    """Start a balancer that stores its table, and wait until it is ready."""
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
    """Poll a condition until it is met.

    Parameters
    ----------
    what
        Name of the condition, for the error message.

    Returns
    -------
    float
        Seconds until it was met.

    Raises
    ------
    TimeoutError
        If it is not met within ``WAIT_SECONDS``.
    """
    started_at = time.monotonic()
    while time.monotonic() < started_at + WAIT_SECONDS:
        if is_met():
            return time.monotonic() - started_at
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'waited {WAIT_SECONDS} s for {what}')


def status_at(running: ControlFleet, name: str) -> ControlStatus | None:
    """Fetch the status of a replica, or None if it does not respond."""
    response = fetch([running.address_by_name[name]], '/status')
    if isinstance(response, Err):
        return None
    return msgspec.json.decode(response.value, type=ControlStatus)


def leader_of(running: ControlFleet) -> str | None:
    """Return the name of the leader that has a quorum, if there is one."""
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
    """Kill a process and wait for its end."""
    process = running.fleet.processes_by_name.pop(name)
    process.send_signal(signal.SIGKILL)
    process.communicate()


def put_pool(
    running: ControlFleet, edit_id: str, name: str, version: int
) -> int | None:
    """Send an edit of a pool until it is accepted, now or at an earlier try.

    Returns
    -------
    int or None
        Version of the table with the edit, or None after ``WAIT_SECONDS``.
    """
    pool = Pool(name, drained=(edit_id,))
    edit = Edit(edit_id, EntryKind.POOL, name, version, pool=pool)
    end = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < end:
        result = send_edit(running.controls(), edit)
        if not isinstance(result, Err):
            outcome = result.value
            first = (
                outcome.first if isinstance(outcome, RepeatedEdit) else outcome
            )
            if isinstance(first, Accepted):
                return first.version
        time.sleep(POLL_SECONDS)
    return None


def table_at(running: ControlFleet, name: str) -> RoutingTable | None:
    """Fetch the table of a replica, or None if it does not respond."""
    response = fetch([running.address_by_name[name]], '/table')
    if isinstance(response, Err):
        return None
    return msgspec.json.decode(response.value, type=RoutingTable)


def version_at(running: ControlFleet, name: str) -> int:
    """Fetch the version of a balancer's current table."""
    address = running.address_by_name[name]
    reply = httpx.get(f'http://{address}/status', timeout=2)
    return msgspec.json.decode(reply.content, type=BalancerStatus).table_version
