"""Simulates a network fabric that sprays packets over the balancers.

A balancer with an HTTP address receives packets while ``GET /ready``, sent
every 100 ms, returns 200. It is removed immediately when it returns another
status, and after two failed checks when it does not reply. A balancer without
an HTTP address always receives packets.
"""

import argparse
import functools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httpx
import trio

from standins.wire import split_address

MAX_DATAGRAM = 65_535
CHECK_SECONDS = 0.1
CHECK_TIMEOUT_SECONDS = 0.25
MAX_FAILED_CHECKS = 2

Target = tuple[str, int]


@dataclass(slots=True)
class Fabric:
    """Balancers that receive packets, and rates of loss and duplication.

    Attributes
    ----------
    balancers
        Targets that receive packets at present.
    loss
        Share of packets that are dropped.
    repeats
        Share of packets that are duplicated.
    """

    balancers: list[Target]
    rng: random.Random
    loss: float = 0
    repeats: float = 0
    counters: Counter[str] = field(default_factory=Counter)


def choose_targets(fabric: Fabric) -> list[Target]:
    """Choose the balancers that receive a packet, none if it is lost."""
    if not fabric.balancers:
        fabric.counters['no balancer'] += 1
        return []
    if fabric.rng.random() < fabric.loss:
        fabric.counters['lost'] += 1
        return []
    fabric.counters['sprayed'] += 1
    copies = 2 if fabric.rng.random() < fabric.repeats else 1
    return [fabric.rng.choice(fabric.balancers) for _ in range(copies)]


def set_in_spray(fabric: Fabric, target: Target, *, is_in: bool) -> None:
    """Add a balancer to the targets of the spray, or remove it."""
    if is_in and target not in fabric.balancers:
        fabric.balancers.append(target)
    elif not is_in and target in fabric.balancers:
        fabric.balancers.remove(target)


async def poll_readiness(
    http_address: str, set_ready: Callable[..., None]
) -> None:
    """Poll the readiness of a balancer, and add or remove it accordingly."""
    failed_checks = 0
    async with httpx.AsyncClient(timeout=CHECK_TIMEOUT_SECONDS) as client:
        while True:
            try:
                reply = await client.get(f'http://{http_address}/ready')
            except httpx.HTTPError:
                failed_checks += 1
                if failed_checks >= MAX_FAILED_CHECKS:
                    set_ready(is_in=False)
            else:
                failed_checks = 0
                set_ready(is_in=reply.status_code == HTTPStatus.OK)
            await trio.sleep(CHECK_SECONDS)


async def spray(fabric: Fabric, sock: trio.socket.SocketType) -> None:
    """Forward every received packet to the chosen balancers."""
    while True:
        raw = await sock.recv(MAX_DATAGRAM)
        for target in choose_targets(fabric):
            await sock.sendto(raw, target)


async def run_fabric(
    fabric: Fabric, listen: str, http_by_target: dict[Target, str]
) -> None:
    """Check the balancers and spray packets until the process ends."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(split_address(listen))
    async with trio.open_nursery() as nursery:
        for target, http_address in http_by_target.items():
            set_ready = functools.partial(set_in_spray, fabric, target)
            nursery.start_soon(poll_readiness, http_address, set_ready)
        nursery.start_soon(spray, fabric, sock)


def main() -> None:
    """Run the fabric from its command line."""
    parser = argparse.ArgumentParser('fabric', description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument(
        '--balancer',
        action='append',
        required=True,
        metavar='DATA_ADDRESS[,HTTP_ADDRESS]',
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--loss', type=float, default=0)
    parser.add_argument('--repeats', type=float, default=0)
    arguments = parser.parse_args()
    pairs = [address.partition(',') for address in arguments.balancer]
    fabric = Fabric(
        [split_address(data) for data, _, http in pairs if not http],
        random.Random(arguments.seed),
        arguments.loss,
        arguments.repeats,
    )
    http_by_target = {
        split_address(data): http for data, _, http in pairs if http
    }
    trio.run(run_fabric, fabric, arguments.listen, http_by_target)


if __name__ == '__main__':
    main()
