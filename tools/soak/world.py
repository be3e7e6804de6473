"""Programs, proxies and settings of one soak, each at its own address.

Every program, server, caller and proxy has its own address within a loopback
block that the seed selects. Soaks with different blocks can run in parallel.
"""

import json
import random
import shutil
import signal
from dataclasses import dataclass, field
from pathlib import Path

import trio

from tools.processes import Fleet, start

CONTROL_PORT, INTERNAL_PORT = 7001, 7101
DATA_PORT, READY_PORT, SERVER_PORT = 7201, 7301, 8001
CONTROLS, BALANCERS = 4, 3
DATA_CENTRES = 3
SEEDS = 3
REPORT_INTERVAL_SECONDS = 0.4
MAX_BLOCKS = 200
SUPERVISE_INTERVAL_SECONDS = 0.5


@dataclass(slots=True)
class Proxy:
    """A TCP proxy in front of one control instance.

    Attributes
    ----------
    mode
        ``pass``, ``delay``, ``reset``, ``silent`` or ``one-way``.
    failed_connections
        Number of connections that ended with an error.
    """

    address: str
    target: str
    mode: str = 'pass'
    failed_connections: int = 0


@dataclass(slots=True)
class World:
    """Programs, faults and results of one soak.

    Attributes
    ----------
    address_prefix
        First two numbers of all IP addresses.
    disturbed_at
        Last time a program was disturbed or started, by its name, on the
        clock of trio. The key ``network`` stands for all proxies.
    log_bytes_at_start
        Size of each program's log when the program was last started.
    expected_down
        Programs that a fault has stopped, or that are catching up after one.
    """

    seed: int
    rng: random.Random
    fleet: Fleet
    address_prefix: str
    proxies_by_name: dict[str, Proxy] = field(default_factory=dict)
    disturbed_at: dict[str, float] = field(default_factory=dict)
    log_bytes_at_start: dict[str, int] = field(default_factory=dict)
    expected_down: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)


def make_world(seed: int, folder: Path) -> World:
    """Create the state of a soak, with the addresses of its proxies."""
    world = World(
        seed,
        random.Random(seed),
        Fleet(folder),
        f'127.{20 + seed % MAX_BLOCKS}',
    )
    for number in range(CONTROLS):
        name = f'control-{number}'
        target = f'{host_address(world, name)}:{CONTROL_PORT}'
        address = f'{world.address_prefix}.5.{number + 1}:{CONTROL_PORT}'
        world.proxies_by_name[name] = Proxy(address, target)
    return world


def host_address(world: World, name: str) -> str:
    """Return the IP address of a program."""
    kind, _, number = name.partition('-')
    network = {'control': 1, 'balancer': 2}[kind]
    return f'{world.address_prefix}.{network}.{int(number) + 1}'


def control_names() -> list[str]:
    """Return the names of the control instances."""
    return [f'control-{number}' for number in range(CONTROLS)]


def balancer_names() -> list[str]:
    """Return the names of the balancers."""
    return [f'balancer-{number}' for number in range(BALANCERS)]


def data_centre_names() -> list[str]:
    """Return the names of the data centres that hold servers."""
    return [f'dc-{number}' for number in range(DATA_CENTRES)]


def record_violation(world: World, violation: str) -> None:
    """Record a violation with the current time."""
    world.violations.append(f'{trio.current_time():.2f} {violation}')


def count_event(world: World, event: str) -> None:
    """Increment the count of an event."""
    world.counts[event] = world.counts.get(event, 0) + 1


def write_settings(world: World, name: str, *, is_first_start: bool) -> Path:
    """Write the settings file of a program, in the platform's format.

    The order of the seeds is random except at the first start.
    """
    host = host_address(world, name)
    seeds = [
        f'{host_address(world, control)}:{CONTROL_PORT}'
        for control in control_names()
    ]
    if not is_first_start:
        world.rng.shuffle(seeds)
    path = world.fleet.folder / f'{name}.json'
    fields = {
        'node_name': name,
        'ip_address': host,
        'zone': f'dc-{name[-1]}',
        'zones': {f'dc-{one}': 'region-0' for one in range(CONTROLS)},
        'bind_addresses': {
            'datagram_address': f'{host}:{DATA_PORT}',
            'readiness_address': f'{host}:{READY_PORT}',
            'control_plane': f'{host}:{CONTROL_PORT}',
        },
        'internal_port_range': [INTERNAL_PORT, INTERNAL_PORT + 9],
        'seeds': seeds[:SEEDS],
        'bootstrap': is_first_start,
        'data_directory': str(world.fleet.folder / f'{name}.data'),
        'heartbeat_interval_ms': round(REPORT_INTERVAL_SECONDS * 1000),
        'fault_tolerance': {'machines': 1, 'zones': 1},
    }
    path.write_text(json.dumps(fields), encoding='utf-8')
    return path


def start_program(
    world: World, name: str, *, is_first_start: bool = False
) -> None:
    """Start or restart a program with new settings."""
    path = write_settings(world, name, is_first_start=is_first_start)
    kind = name.partition('-')[0]
    world.log_bytes_at_start[name] = count_log_bytes(world, name)
    start(
        world.fleet,
        name,
        'mustardhold.platform',
        kind,
        environment={'MUSTARDHOLD_NODE_FILE': str(path)},
    )
    world.expected_down.discard(name)
    world.disturbed_at[name] = trio.current_time()


def count_log_bytes(world: World, name: str) -> int:
    """Return the size of a program's log."""
    path = world.fleet.folder / f'{name}.log'
    return path.stat().st_size if path.exists() else 0


async def supervise(world: World) -> None:
    """Restart programs that exited unexpectedly, as the platform does.

    Such an exit is a violation, unless SIGHUP ended a program that had not
    logged anything yet: until the program installs its handler, the default
    action of the signal ends it.
    """
    while True:
        await trio.sleep(SUPERVISE_INTERVAL_SECONDS)
        for name, process in tuple(world.fleet.processes_by_name.items()):
            if name in world.expected_down or process.poll() is None:
                continue
            has_logged_nothing = (
                count_log_bytes(world, name) == world.log_bytes_at_start[name]
            )
            if process.returncode == -signal.SIGHUP and has_logged_nothing:
                count_event(world, 'reload before the start')
            else:
                record_violation(
                    world, f'{name} ended by itself: {process.returncode}'
                )
            start_program(world, name)


def send_signal(world: World, name: str, number: signal.Signals) -> None:
    """Send a signal to a program if it is running, as a disturbance."""
    process = world.fleet.processes_by_name[name]
    if process.poll() is None:
        process.send_signal(number)
    world.disturbed_at[name] = trio.current_time()


def delete_data(world: World, name: str) -> None:
    """Delete the data directory of a program that is down."""
    shutil.rmtree(world.fleet.folder / f'{name}.data', ignore_errors=True)


async def run_proxy(proxy: Proxy) -> None:
    """Forward connections to the target, with the fault of the mode."""
    host, _, port = proxy.address.rpartition(':')

    async def serve(stream: trio.SocketStream) -> None:
        target_host, _, target_port = proxy.target.rpartition(':')
        try:
            target = await trio.open_tcp_stream(target_host, int(target_port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pump, proxy, stream, target, nursery, '')
                nursery.start_soon(
                    pump, proxy, target, stream, nursery, 'one-way'
                )
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            proxy.failed_connections += 1
        finally:
            await trio.aclose_forcefully(stream)

    await trio.serve_tcp(serve, int(port), host=host)


async def pump(
    proxy: Proxy,
    source: trio.SocketStream,
    target: trio.SocketStream,
    nursery: trio.Nursery,
    dropping_mode: str,
) -> None:
    """Forward bytes in one direction, with the fault of the mode.

    Parameters
    ----------
    dropping_mode
        A mode besides ``silent`` in which this direction drops all bytes.
    """
    async for chunk in source:
        if proxy.mode == 'reset':
            break
        if proxy.mode == 'delay':
            await trio.sleep(0.3)
        if proxy.mode not in {'silent', dropping_mode}:
            await target.send_all(chunk)
    nursery.cancel_scope.cancel()
