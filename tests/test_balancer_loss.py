"""Tests that flows survive the loss and restart of balancers."""

import tempfile
from pathlib import Path

import pytest
import trio

from standins import caller
from tools import processes
from tools.running_deployment import (
    SEEWINKEL,
    configure_deployment,
    start_balancer,
    start_deployment,
)

BALANCERS = 4
FLOWS = 24
TRIES = 40


@pytest.fixture
def path():
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(Path(folder))
        try:
            path = start_deployment(fleet, SEEWINKEL, BALANCERS)
            configure_deployment(path, SEEWINKEL)
            yield path
        finally:
            processes.stop_all(fleet)


async def is_alive(flow):
    """Upload until the server echoes, since packets may be lost."""
    for _ in range(TRIES):
        if await caller.upload(flow, b'still here', 0.25):
            return True
    return False


async def count_survivors(flows):
    alive = []

    async def probe(flow):
        if await is_alive(flow) and len(flow.backend_ids) == 1:
            alive.append(flow)

    async with trio.open_nursery() as nursery:
        for flow in flows:
            nursery.start_soon(probe, flow)
    return len(alive)


async def test_flows_survive_a_kill_and_a_graceful_stop(path):
    fleet = path.fleet
    address = SEEWINKEL.address_by_service['werkstatt']
    flows = [
        await caller.connect(
            path.fabric, 'werkstatt', address, processes.LOOPBACK
        )
        for _ in range(FLOWS)
    ]
    assert await count_survivors(flows) == FLOWS
    killed = fleet.processes_by_name.pop('balancer-1')
    killed.kill()
    killed.communicate()
    assert await count_survivors(flows) == FLOWS
    start_balancer(path, 'balancer-1')
    await trio.to_thread.run_sync(
        processes.wait_ready, path.http_address_of('balancer-1')
    )
    code, _ = await trio.to_thread.run_sync(processes.stop, fleet, 'balancer-2')
    assert code == 0
    assert await count_survivors(flows) == FLOWS
