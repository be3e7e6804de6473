"""Processor time and memory of idle balancer processes, from ``/proc``."""

import os
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tools import processes
from tools.running_deployment import (
    SEEWINKEL,
    RunningDeployment,
    start_balancers,
    start_controls,
)

IDLE_SECONDS = 8.0
SETTLE_SECONDS = 4.0
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
USER_FIELD = 11
SYSTEM_FIELD = 12


@contextmanager
def run_idle_group(members: int) -> Iterator[list[int]]:
    """Run a control replica and a spray group of balancers without traffic.

    Yields
    ------
    list of int
        Process ids of the balancers.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder))
        try:
            yield start_group(fleet, members)
        finally:
            processes.stop_all(fleet)


def start_group(fleet: processes.Fleet, members: int) -> list[int]:
    """Start the processes, let them settle, and return the balancers' ids."""
    controls = start_controls(fleet, SEEWINKEL, 1)
    running = RunningDeployment(fleet, processes.free_address(), controls)
    start_balancers(running, SEEWINKEL, members)
    for address in running.balancer_http_addresses():
        processes.wait_ready(address)
    time.sleep(SETTLE_SECONDS)
    return [
        fleet.processes_by_name[name].pid
        for name in running.settings_by_balancer
    ]


def used_processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    text = Path(f'/proc/{pid}/statm').read_text(encoding='utf-8')
    return int(text.split()[1]) * PAGE_BYTES


def idle_share(members: int) -> float:
    """Measure the mean share of a core that an idle balancer uses."""
    with run_idle_group(members) as pids:
        before = sum(map(used_processor_seconds, pids))
        time.sleep(IDLE_SECONDS)
        used = sum(map(used_processor_seconds, pids)) - before
    return used / IDLE_SECONDS / members


def idle_memory(members: int) -> float:
    """Measure the mean resident memory of an idle balancer."""
    with run_idle_group(members) as pids:
        return sum(map(resident_bytes, pids)) / members
