"""Starts and stops processes of the product and of the stand-ins."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

import httpx
import yaml

LOOPBACK = '127.0.0.1'
READY_SECONDS = 15
STOP_SECONDS = 15
ROOT = Path(__file__).parent.parent
PYTHON_PATH = os.pathsep.join((str(ROOT / 'src'), str(ROOT)))
POLL_SECONDS = 0.05
NO_ENVIRONMENT: Mapping[str, str] = MappingProxyType({})


@dataclass(slots=True)
class Fleet:
    """Running processes of one run, by name, and the folder of their files."""

    folder: Path
    processes_by_name: dict[str, subprocess.Popen[str]] = field(
        default_factory=dict
    )


def free_address(kind: socket.SocketKind = socket.SOCK_DGRAM) -> str:
    """Return an unused loopback address."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return f'{LOOPBACK}:{sock.getsockname()[1]}'


def free_tcp_address() -> str:
    """Return an unused loopback address for TCP."""
    return free_address(socket.SOCK_STREAM)


def start(
    fleet: Fleet,
    name: str,
    *command: str,
    environment: Mapping[str, str] = NO_ENVIRONMENT,
) -> None:
    """Start a Python module as a process with a log file.

    The standard output of a stand-in holds its results, which ``stop``
    returns. A program of the product logs to standard output, which goes to
    the log file.
    """
    is_product = command[0].partition('.')[0] == 'mustardhold'
    log_path = fleet.folder / f'{name}.log'
    with log_path.open('a', encoding='utf-8') as log:
        fleet.processes_by_name[name] = subprocess.Popen(
            [sys.executable, '-m', *command],
            stdout=log if is_product else subprocess.PIPE,
            stderr=log,
            text=True,
            env={**os.environ, 'PYTHONPATH': PYTHON_PATH, **environment},
        )


def start_program(
    fleet: Fleet, program: str, settings: dict[str, object]
) -> None:
    """Write a settings file and start a program of the product with it."""
    name = str(settings['instance_id'])
    path = fleet.folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(settings), encoding='utf-8')
    start(fleet, name, 'mustardhold', program, '--settings', str(path))


def wait_ready(http_address: str) -> None:
    """Wait until a process replies over HTTP and, if a balancer, has a lease.

    Raises
    ------
    TimeoutError
        If it is not ready within ``READY_SECONDS``.
    """
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        try:
            response = httpx.get(f'http://{http_address}/status', timeout=1)
        except httpx.HTTPError:
            time.sleep(POLL_SECONDS)
            continue
        # Only a balancer reports the remaining time of its lease.
        if response.json().get('lease_left', 1) != 0:
            return
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{http_address} is not ready')


def stop(fleet: Fleet, name: str) -> tuple[int, str]:
    """Terminate a process, and return its exit code and output."""
    process = fleet.processes_by_name.pop(name)
    process.send_signal(signal.SIGTERM)
    try:
        output, _ = process.communicate(timeout=STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        output, _ = process.communicate()
    # The output of a program of the product is in its log file.
    return process.returncode, output or ''


def stop_all(fleet: Fleet) -> dict[str, tuple[int, str]]:
    """Stop every process; return exit codes and outputs by name."""
    return {name: stop(fleet, name) for name in list(fleet.processes_by_name)}
