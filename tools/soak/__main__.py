"""Runs the soak: ``./run soak [--seeds N] [--seed S] [--minutes M]``.

Exits with 0 if no seed caused a violation, otherwise with 1. The logs of a
failed seed are retained, and their folder is printed.
"""

import argparse
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from tools.processes import stop_all
from tools.soak.traffic import (
    Traffic,
    add_server,
    check_configuration,
    make_traffic,
    poll_readiness,
    run_caller,
    run_evacuations,
    run_operator,
    run_server,
    send_configuration,
    send_reports,
    start_flows,
)
from tools.soak.world import (
    World,
    balancer_names,
    control_names,
    count_event,
    delete_data,
    make_world,
    record_violation,
    run_proxy,
    send_signal,
    start_program,
    supervise,
)

FORMATION_SECONDS = 20.0
FAULT_SECONDS = 16.0
CATCH_UP_SECONDS = 4.0
SETTLE_SECONDS = 20.0
MIN_OPENED_SHARE = 0.25
PROXY_FAULTS = ('delay', 'reset', 'silent', 'one-way')

Fault = Callable[[Traffic, trio.Nursery], Awaitable[None]]


async def restart_program(
    world: World,
    name: str,
    number: signal.Signals,
    *,
    deletes_data: bool = False,
) -> None:
    """Stop a program by a signal, and restart it after it has exited."""
    world.expected_down.add(name)
    process = world.fleet.processes_by_name[name]
    send_signal(world, name, number)
    while process.poll() is None:
        await trio.sleep(0.05)
    if deletes_data:
        delete_data(world, name)
    await trio.sleep(world.rng.uniform(0.1, 1))
    start_program(world, name)


async def pause_program(world: World, name: str) -> None:
    """Suspend a program for 0.5 to 4 seconds."""
    world.expected_down.add(name)
    send_signal(world, name, signal.SIGSTOP)
    await trio.sleep(world.rng.uniform(0.5, 4))
    send_signal(world, name, signal.SIGCONT)
    world.expected_down.discard(name)


async def disturb_balancer(traffic: Traffic, _: trio.Nursery) -> None:
    """Kill, stop, pause or reload a balancer other than the first one."""
    world = traffic.world
    name = world.rng.choice(balancer_names()[1:])
    if name in world.expected_down:
        return
    fault = world.rng.choice(('kill', 'stop', 'pause', 'reload'))
    count_event(world, f'balancer {fault}')
    if fault == 'pause':
        await pause_program(world, name)
    elif fault == 'reload':
        send_signal(world, name, signal.SIGHUP)
    else:
        number = signal.SIGKILL if fault == 'kill' else signal.SIGTERM
        await restart_program(world, name, number)


async def disturb_control(traffic: Traffic, _: trio.Nursery) -> None:
    """Kill, stop, wipe or pause a control instance, and let it catch up."""
    world = traffic.world
    if world.expected_down & set(control_names()):
        return
    name = world.rng.choice(control_names())
    fault = world.rng.choice(('kill', 'stop', 'wipe', 'pause'))
    count_event(world, f'control {fault}')
    if fault == 'pause':
        await pause_program(world, name)
    else:
        number = signal.SIGTERM if fault == 'stop' else signal.SIGKILL
        await restart_program(world, name, number, deletes_data=fault == 'wipe')
    world.expected_down.add(name)
    await trio.sleep(CATCH_UP_SECONDS)
    world.expected_down.discard(name)


async def kill_controls(traffic: Traffic, nursery: trio.Nursery) -> None:
    """Kill all control instances at once; they restart with their data."""
    world = traffic.world
    if world.expected_down & set(control_names()):
        return
    count_event(world, 'all controls killed')
    for name in control_names():
        nursery.start_soon(restart_program, world, name, signal.SIGKILL)


async def disturb_network(traffic: Traffic, _: trio.Nursery) -> None:
    """Disturb connections from servers and operators to a control instance."""
    world = traffic.world
    proxy = world.proxies_by_name[world.rng.choice(control_names())]
    proxy.mode = world.rng.choice(PROXY_FAULTS)
    count_event(world, f'network {proxy.mode}')
    await trio.sleep(world.rng.uniform(1, 4))
    proxy.mode = 'pass'
    world.disturbed_at['network'] = trio.current_time()


async def change_servers(traffic: Traffic, nursery: trio.Nursery) -> None:
    """Drain, kill or restart a server; add one if three or fewer are ready."""
    world = traffic.world
    ready = [
        server
        for server in traffic.servers_by_number.values()
        if server.is_running and server.state == 'ready'
    ]
    if len(ready) <= 3:
        server = await add_server(traffic)
        nursery.start_soon(run_server, traffic, server)
        nursery.start_soon(send_reports, traffic, server)
        return
    server = world.rng.choice(ready)
    fault = world.rng.choice(('drain', 'die', 'again'))
    count_event(world, f'server {fault}')
    if fault == 'drain':
        server.state = 'draining'
        return
    server.is_running = False
    server.half_open_ports.clear()
    server.open_ports.clear()
    if fault == 'again':
        await trio.sleep(1.0)
        server.incarnation = time.time_ns() // 1_000_000
        server.sequence = 0
        server.is_running = True
        nursery.start_soon(send_reports, traffic, server)


FAULTS: tuple[Fault, ...] = (
    disturb_balancer,
    disturb_balancer,
    disturb_control,
    kill_controls,
    disturb_network,
    change_servers,
)


async def run_faults(traffic: Traffic, seconds: float) -> None:
    """Start overlapping faults at random intervals, and wait for their end."""
    rng = traffic.world.rng
    end = trio.current_time() + seconds
    async with trio.open_nursery() as operator, trio.open_nursery() as nursery:
        operator.start_soon(run_evacuations, traffic, seconds)
        while trio.current_time() < end:
            nursery.start_soon(rng.choice(FAULTS), traffic, nursery)
            await trio.sleep(rng.uniform(0.3, 1.2))
        # Faults start servers that run forever; this nursery ends them.
        await trio.sleep(CATCH_UP_SECONDS + 6)
        nursery.cancel_scope.cancel()


async def retry(action: Callable[[], Awaitable[bool]], seconds: float) -> bool:
    """Retry an action; return whether it succeeds within the given time."""
    with trio.move_on_after(seconds):
        while not await action():
            await trio.sleep(0.2)
        return True
    return False


async def run_soak(world: World, seconds: float) -> None:
    """Run one soak, and record its violations in the world."""
    for name in (*control_names(), *balancer_names()):
        start_program(world, name, is_first_start=True)
    async with trio.open_nursery() as nursery:
        for proxy in world.proxies_by_name.values():
            nursery.start_soon(run_proxy, proxy)
        traffic = await make_traffic(world)
        for server in traffic.servers_by_number.values():
            nursery.start_soon(run_server, traffic, server)
            nursery.start_soon(send_reports, traffic, server)
        nursery.start_soon(supervise, world)
        nursery.start_soon(run_caller, traffic)
        nursery.start_soon(poll_readiness, traffic)
        if not await retry(
            lambda: send_configuration(traffic), FORMATION_SECONDS
        ):
            record_violation(
                world, 'no configuration was acknowledged at the start'
            )
        nursery.start_soon(start_flows, traffic, nursery)
        nursery.start_soon(run_operator, traffic)
        await run_faults(traffic, seconds)
        await check_recovery(traffic)
        nursery.cancel_scope.cancel()


async def check_recovery(traffic: Traffic) -> None:
    """Check that the programs run and serve again after the faults."""
    world = traffic.world
    for name in (*control_names(), *balancer_names()):
        if world.fleet.processes_by_name[name].poll() is not None:
            record_violation(world, f'{name} is not running at the end')
    if not await retry(lambda: check_configuration(traffic), SETTLE_SECONDS):
        record_violation(world, 'nobody reads the configuration at the end')
    before = dict(world.counts)
    await trio.sleep(CATCH_UP_SECONDS)
    opened = world.counts.get('opened', 0) - before.get('opened', 0)
    failed = world.counts.get('not opened', 0) - before.get('not opened', 0)
    if opened < MIN_OPENED_SHARE * (opened + failed) or not opened:
        record_violation(
            world, f'{opened} of {opened + failed} flows open at the end'
        )


def soak(seed: int, seconds: float) -> list[str]:
    """Run one seed and return its violations; retain the logs if any."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    world = make_world(seed, folder)
    try:
        trio.run(run_soak, world, seconds)
    finally:
        for process in world.fleet.processes_by_name.values():
            process.send_signal(signal.SIGCONT)
        stop_all(world.fleet)
    if world.violations:
        sys.stdout.write(f'seed {seed}: broken, logs in {folder}\n')
    else:
        shutil.rmtree(folder)
    lines = [f'  {violation}' for violation in world.violations]
    sys.stdout.write('\n'.join([f'seed {seed}: {world.counts}', *lines, '']))
    return world.violations


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser('./run soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument(
        '--minutes', type=float, default=FAULT_SECONDS / 60, help='of faults'
    )
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    broken = [seed for seed in seeds if soak(seed, arguments.minutes * 60)]
    sys.stdout.write(f'{len(seeds)} seeds, broken: {broken or "none"}\n')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
