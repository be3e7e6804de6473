"""Proofs and measurements, collected from their modules."""

import importlib
import pkgutil
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from types import ModuleType
from typing import Protocol

from tools import measurements, proofs


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was seen broken.

    Attributes
    ----------
    promise
        The promise, in the words of the brief.
    seen
        What happened, with the virtual time where it is known.
    """

    promise: str
    seen: str


class RunProof(Protocol):
    """Runs one seed of a proof and returns what was seen broken."""

    def __call__(self, seed: int, *, naive: bool) -> list[Violation]:
        """Run the product, or the naive version."""


@dataclass(frozen=True, slots=True)
class Proof:
    """One promise under failure.

    Attributes
    ----------
    run
        Takes a seed and whether to run the naive version; returns what was
        seen broken.
    seeds
        Seeds of a full run.
    ci_seeds
        Seeds of a run in CI.
    """

    name: str
    promise: str
    run: RunProof
    seeds: int = 200
    ci_seeds: int = 10


Cell = str | int | float


@dataclass(frozen=True, slots=True)
class Table:
    """Result of a measurement.

    Attributes
    ----------
    columns
        Names with their units.
    notes
        What the reader has to know: range, seeds, what was not run.
    """

    columns: tuple[str, ...]
    rows: Sequence[tuple[Cell, ...]]
    notes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measurement; its result goes to ``docs/results``."""

    name: str
    summary: str
    run: Callable[[], Table]


def modules_of(package: ModuleType) -> Iterator[ModuleType]:
    """Yield the modules of a package, by name."""
    for found in pkgutil.iter_modules(package.__path__):
        yield importlib.import_module(f'{package.__name__}.{found.name}')


def proofs_by_name() -> dict[str, Proof]:
    """Collect ``PROOFS`` of every module of proofs."""
    return {
        proof.name: proof
        for module in modules_of(proofs)
        for proof in getattr(module, 'PROOFS', ())
    }


def measurements_by_name() -> dict[str, Measurement]:
    """Collect ``MEASUREMENTS`` of every module of measurements."""
    return {
        measurement.name: measurement
        for module in modules_of(measurements)
        for measurement in getattr(module, 'MEASUREMENTS', ())
    }
