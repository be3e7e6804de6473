"""Stand-in of the network fabric: hands any packet to any balancer.

A balancer that is given with its HTTP address is in the spray while its
``GET /ready``, asked every 100 ms, is answered with 200. One that refuses is
taken out at once, one that does not answer after two tries. A balancer that
is given without an HTTP address is always in the spray.
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

from standins.wire import split

MAX_DATAGRAM = 65_535
CHECK_SECONDS = 0.1
CHECK_TIMEOUT_SECONDS = 0.25
SILENT_TRIES = 2

Target = tuple[str, int]


@dataclass(slots=True)
class Fabric:
    """The balancers in the spray, and the share of packets that it loses.

    Attributes
    ----------
    balancers
        Targets that are in the spray now.
    """

    balancers: list[Target]
    rng: random.Random
    loss: float = 0
    repeats: float = 0
    counters: Counter[str] = field(default_factory=Counter)


def targets_for_packet(fabric: Fabric) -> list[Target]:
    """Choose the balancers that get a packet: none where it is lost."""
    if not fabric.balancers:
        fabric.counters['no balancer'] += 1
        return []
    if fabric.rng.random() < fabric.loss:
        fabric.counters['lost'] += 1
        return []
    fabric.counters['sprayed'] += 1
    copies = 2 if fabric.rng.random() < fabric.repeats else 1
    return [fabric.rng.choice(fabric.balancers) for _ in range(copies)]


def set_sprayed(fabric: Fabric, target: Target, *, is_in: bool) -> None:
    """Put a balancer into the spray, or take it out."""
    if is_in and target not in fabric.balancers:
        fabric.balancers.append(target)
    elif not is_in and target in fabric.balancers:
        fabric.balancers.remove(target)


async def check_health(http_address: str, put: Callable[..., None]) -> None:
    """Keep a balancer in the spray while it says that it is ready."""
    silent = 0
    async with httpx.AsyncClient(timeout=CHECK_TIMEOUT_SECONDS) as client:
        while True:
            try:
                reply = await client.get(f'http://{http_address}/ready')
            except httpx.HTTPError:
                silent += 1
                if silent >= SILENT_TRIES:
                    put(is_in=False)
            else:
                silent = 0
                put(is_in=reply.status_code == HTTPStatus.OK)
            await trio.sleep(CHECK_SECONDS)


async def spray(fabric: Fabric, sock: trio.socket.SocketType) -> None:
    """Pass on every packet that arrives."""
    while True:
        raw = await sock.recv(MAX_DATAGRAM)
        for target in targets_for_packet(fabric):
            await sock.sendto(raw, target)


async def run_fabric(
    fabric: Fabric, listen: str, http_by_target: dict[Target, str]
) -> None:
    """Listen on an address and spray until ended."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(split(listen))
    async with trio.open_nursery() as nursery:
        for target, http_address in http_by_target.items():
            put = functools.partial(set_sprayed, fabric, target)
            nursery.start_soon(check_health, http_address, put)
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
        [split(data) for data, _, http in pairs if not http],
        random.Random(arguments.seed),
        arguments.loss,
        arguments.repeats,
    )
    checked = {split(data): http for data, _, http in pairs if http}
    trio.run(run_fabric, fabric, arguments.listen, checked)


if __name__ == '__main__':
    main()
