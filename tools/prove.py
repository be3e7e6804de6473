"""Runs proofs: ``./run prove NAME|--list|--all [--naive] [--seeds N]``.

Exits 0 if the promise held for every seed, 1 if it was broken, 2 on wrong
usage. The first seed that breaks a promise ends its proof.
"""

import argparse
import sys
from collections.abc import Sequence

from tools.registry import Proof, proofs_by_name

FIRST_SEED = 1


def run_proof(proof: Proof, seeds: int, *, naive: bool) -> bool:
    """Run a proof over its seeds and print what was seen."""
    for seed in range(FIRST_SEED, FIRST_SEED + seeds):
        violations = proof.run(seed, naive=naive)
        for violation in violations:
            print(
                f'{proof.name}: broken with seed {seed}: '
                f'{violation.promise}: {violation.seen}'
            )
        if violations:
            return False
    print(f'{proof.name}: held over {seeds} seeds: {proof.promise}')
    return True


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line."""
    parser = argparse.ArgumentParser('./run prove', description=__doc__)
    parser.add_argument('name', nargs='?')
    parser.add_argument('--list', action='store_true')
    parser.add_argument('--all', action='store_true')
    parser.add_argument('--naive', action='store_true')
    parser.add_argument('--seeds', type=int)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the proofs that the arguments ask for."""
    parser = make_parser()
    arguments = parser.parse_args(argv)
    proofs = proofs_by_name()
    if arguments.list:
        for proof in proofs.values():
            print(f'{proof.name:<20} {proof.promise}')
        return 0
    names = list(proofs) if arguments.all else [arguments.name]
    if any(name not in proofs for name in names):
        parser.error(f'no such proof; known: {", ".join(proofs)}')
    held = [
        run_proof(
            proofs[name],
            arguments.seeds or proofs[name].seeds,
            naive=arguments.naive,
        )
        for name in names
    ]
    return 0 if all(held) else 1


if __name__ == '__main__':
    sys.exit(main())
