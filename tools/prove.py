"""Runs proofs: ``./run prove NAME|--list|--all [--naive] [--seeds N]``.

Exits with 0 if the promises held for all seeds, 1 if one was broken, and 2 on
wrong usage. A proof stops at the first seed that breaks its promise.
"""

import argparse
import sys
from collections.abc import Sequence

from tools.registry import Proof, proofs_by_name

FIRST_SEED = 1


def run_proof(proof: Proof, seeds: int, *, naive: bool) -> bool:
    """Run a proof, print the result, and return whether all seeds held."""
    for seed in range(FIRST_SEED, FIRST_SEED + seeds):
        violations = proof.run(seed, naive=naive)
        for violation in violations:
            print(
                f'{proof.name}: broken with seed {seed}: '
                f'{violation.promise}: {violation.observed}'
            )
        if violations:
            return False
    print(f'{proof.name}: held over {seeds} seeds: {proof.promise}')
    return True


def make_parser() -> argparse.ArgumentParser:
    """Build the command line parser."""
    parser = argparse.ArgumentParser('./run prove', description=__doc__)
    parser.add_argument('name', nargs='?')
    parser.add_argument('--list', action='store_true')
    parser.add_argument('--all', action='store_true')
    parser.add_argument('--naive', action='store_true')
    parser.add_argument('--seeds', type=int)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run or list proofs according to the command line."""
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
