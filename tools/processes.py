"""Starts and ends processes of the product and of the stand-ins."""

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
    """Processes that one run has started, by name."""

    folder: Path
    processes_by_name: dict[str, subprocess.Popen[str]] = field(
        default_factory=dict
    )


def free_address(kind: socket.SocketKind = socket.SOCK_DGRAM) -> str:
    """Find an address on loopback that nobody listens on."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return f'{LOOPBACK}:{sock.getsockname()[1]}'


def free_tcp_address() -> str:
    """Find a TCP address on loopback that nobody listens on."""
    return free_address(socket.SOCK_STREAM)


def start(
    fleet: Fleet,
    name: str,
    *command: str,
    environment: Mapping[str, str] = NO_ENVIRONMENT,
) -> None:
    """Start a Python module as a process; its log goes to a file.

    A stand-in writes its results to standard output, which ``stop`` returns;
    a program of the product logs there.
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
    """Write a settings file and start a program of the product on it."""
    name = str(settings['instance_id'])
    path = fleet.folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(settings), encoding='utf-8')
    start(fleet, name, 'mustardhold', program, '--settings', str(path))


def wait_ready(http_address: str) -> None:
    """Wait until a process answers over HTTP, and a balancer has a lease.

    Raises
    ------
    TimeoutError
        If it does not answer within ``READY_SECONDS``.
    """
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        try:
            reply = httpx.get(f'http://{http_address}/status', timeout=1)
        except httpx.HTTPError:
            time.sleep(POLL_SECONDS)
            continue
        # A balancer answers how long it may act; a control replica does not.
        if reply.json().get('lease_left', 1) != 0:
            return
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{http_address} does not answer')


def stop(fleet: Fleet, name: str) -> tuple[int, str]:
    """Ask a process to stop, and read its exit code and output."""
    process = fleet.processes_by_name.pop(name)
    process.send_signal(signal.SIGTERM)
    try:
        output, _ = process.communicate(timeout=STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        output, _ = process.communicate()
    # A program of the product has its output in its log.
    return process.returncode, output or ''


def stop_all(fleet: Fleet) -> dict[str, tuple[int, str]]:
    """Stop every process of the fleet."""
    return {name: stop(fleet, name) for name in list(fleet.processes_by_name)}
