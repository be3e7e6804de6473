"""Routes that were removed are added again while balancers are restarted.

A flow on such a route opens through a balancer that has the newest desired
state. Then the rotation changes, and its next packet goes to a balancer that
still has the one before. Its host lives, and all of this is planned work.
Without the disruption, no balancer is restarted while the routes are added.
"""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

from stage import BOUNDS, Caller, Server, Stage, run_case

PORT = 443
STORMS = 3
CHANGES = 12
CHANGE_SECONDS = 0.33
ROLL_SECONDS = 1.3
FLOWS_A_SECOND = 150
FLOW_SECONDS = 0.5
REQUEST_SECONDS = 0.02
TOTAL = STORMS * CHANGES
EARLIER = ('balancer-1', 'balancer-2', 'balancer-3', 'balancer-4')
LATER = (7, 6, 5)


def address(number):
    """Return the address of a route."""
    return f'198.18.1.{number}'


def routes(count):
    """Return the first routes, and one that is always there."""
    numbers = range(1, count + 1)
    return [
        ('198.18.0.1', PORT, 'feed'),
        *((address(number), PORT, 'feed') for number in numbers),
    ]


async def use_flow(caller, ip):
    """Open a flow, and send requests on it."""
    loop = asyncio.get_running_loop()
    end = loop.time() + FLOW_SECONDS
    flow = await caller.open(ip, PORT)
    while flow.state == 'open' and loop.time() < end:
        await caller.request(flow)
        await asyncio.sleep(REQUEST_SECONDS)


async def use_newest(caller, newest):
    """Open flows on the route that was added last."""
    tasks = set()
    while True:
        if newest[0]:
            task = asyncio.create_task(use_flow(caller, address(newest[0])))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / FLOWS_A_SECOND)


async def restart(stage, name):
    """Stop a balancer by SIGTERM, and start it again."""
    process = stage.processes[name]
    stage.signal(name, signal.SIGTERM)
    while process.poll() is None:
        await asyncio.sleep(0.05)
    stage.record.line(f'{name} ended with {process.returncode}')
    stage.start(name)
    while not stage.ready.get(name):
        await asyncio.sleep(0.05)


async def change_routes(stage, versions, counts):
    """Send desired states with some numbers of routes, one after the other."""
    order = list(stage.controls)
    loop = asyncio.get_running_loop()
    for count in counts:
        began = loop.time()
        order.append(order.pop(0))
        await stage.replace(next(versions), routes(count), ['feed'], order)
        yield count
        await asyncio.sleep(max(began + CHANGE_SECONDS - loop.time(), 0))


async def restart_earlier(stage, versions):
    """Restart some balancers, long before, while desired states are sent."""
    tasks = []
    async for _ in change_routes(stage, versions, [TOTAL] * 24):
        if len(tasks) < len(EARLIER):
            name = EARLIER[len(tasks)]
            tasks.append(asyncio.create_task(restart(stage, name)))
    await asyncio.gather(*tasks)


async def add_routes(stage, versions, newest, has_trouble):
    """Add the routes again in storms, and restart a balancer in each."""
    for storm, number in enumerate(LATER):
        tasks = []
        if has_trouble:
            name = f'balancer-{number}'
            tasks.append(asyncio.create_task(restart(stage, name)))
        await asyncio.sleep(0.3)
        first = storm * CHANGES + 1
        counts = range(first, first + CHANGES)
        async for count in change_routes(stage, versions, counts):
            newest[0] = count
        await asyncio.gather(*tasks)
        await asyncio.sleep(ROLL_SECONDS)


def note_resets(record, caller, violations):
    """Note each reset of the system, and those of flows in use as broken."""

    def note_reset(flow, state, sender):
        is_broken = state == 'open' and flow.answers > 0
        if is_broken:
            violations.append(
                f'FLOW: flow {flow.port} to {flow.ip} at the living host '
                f'{flow.server} was reset, and not by its host'
            )
        if is_broken or len(caller.system_resets) % 25 == 1:
            record.line(
                f'caller: flow {flow.port} to {flow.ip} at host '
                f'{flow.server or "none"} is reset by the system, from '
                f'{sender[0]}; it was {state}, after {flow.answers} answers'
            )

    caller.on_system_reset = note_reset


async def case(record, has_trouble):
    """Play the case."""
    stage = Stage(record, balancers=7)
    versions = itertools.count(1, 3)
    violations = []
    try:
        await stage.begin()
        servers = [
            Server(stage, 'feed', f'{stage.block}.3.{n}', f'zone-{n}')
            for n in (1, 2, 3)
        ]
        await stage.replace(next(versions), routes(TOTAL), ['feed'])
        await asyncio.gather(*(server.begin() for server in servers))
        await stage.wait_ready()
        await restart_earlier(stage, versions)
        await stage.replace(next(versions), routes(0), ['feed'])
        await asyncio.sleep(BOUNDS['stable_window_ms'] / 1000 + 1.0)

        caller = Caller(stage)
        await caller.begin()
        note_resets(record, caller, violations)
        newest = [0]
        stage.tasks.append(asyncio.create_task(use_newest(caller, newest)))
        await add_routes(stage, versions, newest, has_trouble)
        states = {}
        for flow in caller.flows.values():
            states[flow.state] = states.get(flow.state, 0) + 1
        record.line(f'flows at the end: {states}')
    finally:
        await stage.end()
    return violations


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).parent))
