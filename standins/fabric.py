"""Stand-in of the network fabric: hands any packet to any balancer."""

import argparse
import random
from dataclasses import dataclass, field

import trio

from standins.wire import split

MAX_DATAGRAM = 65_535


@dataclass(slots=True)
class Fabric:
    """The balancers in the spray, and the share of packets that it loses."""

    balancers: list[tuple[str, int]]
    rng: random.Random
    loss: float = 0
    repeats: float = 0
    sprayed: int = 0
    lost: int = field(default=0)


def targets_for_packet(fabric: Fabric) -> list[tuple[str, int]]:
    """Choose the balancers that get a packet: none where it is lost."""
    if fabric.rng.random() < fabric.loss:
        fabric.lost += 1
        return []
    fabric.sprayed += 1
    copies = 2 if fabric.rng.random() < fabric.repeats else 1
    return [fabric.rng.choice(fabric.balancers) for _ in range(copies)]


async def spray(fabric: Fabric, sock: trio.socket.SocketType) -> None:
    """Pass on every packet that arrives."""
    while True:
        raw = await sock.recv(MAX_DATAGRAM)
        for target in targets_for_packet(fabric):
            await sock.sendto(raw, target)


async def run_fabric(fabric: Fabric, listen: str) -> None:
    """Listen on an address and spray until ended."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(split(listen))
    await spray(fabric, sock)


def main() -> None:
    """Run the fabric from its command line."""
    parser = argparse.ArgumentParser('fabric')
    parser.add_argument('--listen', required=True)
    parser.add_argument('--balancer', action='append', required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--loss', type=float, default=0)
    parser.add_argument('--repeats', type=float, default=0)
    arguments = parser.parse_args()
    fabric = Fabric(
        [split(address) for address in arguments.balancer],
        random.Random(arguments.seed),
        arguments.loss,
        arguments.repeats,
    )
    trio.run(run_fabric, fabric, arguments.listen)


if __name__ == '__main__':
    main()
