"""Types of proofs and measurements, and their discovery in modules."""

import importlib
import pkgutil
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from types import ModuleType
from typing import Protocol

from tools import measurements, proofs


@dataclass(frozen=True, slots=True)
class Violation:
    """An observed violation of a promise.

    Attributes
    ----------
    promise
        The promise, as the brief words it.
    observed
        Observed behaviour, with the virtual time if it is known.
    """

    promise: str
    observed: str


class RunProof(Protocol):
    """Runs one seed of a proof and returns the violations."""

    def __call__(self, seed: int, *, naive: bool) -> list[Violation]:
        """Run the product or the naive version."""


@dataclass(frozen=True, slots=True)
class Proof:
    """A check that a promise holds under failures.

    Attributes
    ----------
    run
        Runs one seed with the product or the naive version, and returns the
        violations.
    seeds
        Number of seeds of a full run.
    ci_seeds
        Number of seeds of a run in CI.
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
        Names of the columns with their units.
    notes
        Conditions of the measurement: range, seeds, what was not run.
    """

    columns: tuple[str, ...]
    rows: Sequence[tuple[Cell, ...]]
    notes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Measurement:
    """A measurement; its result is written to ``docs/results``."""

    name: str
    summary: str
    run: Callable[[], Table]


def import_modules(package: ModuleType) -> Iterator[ModuleType]:
    """Import and yield the modules of a package."""
    for module_info in pkgutil.iter_modules(package.__path__):
        yield importlib.import_module(f'{package.__name__}.{module_info.name}')


def proofs_by_name() -> dict[str, Proof]:
    """Return the ``PROOFS`` of all modules of the package, by name."""
    return {
        proof.name: proof
        for module in import_modules(proofs)
        for proof in getattr(module, 'PROOFS', ())
    }


def measurements_by_name() -> dict[str, Measurement]:
    """Return the ``MEASUREMENTS`` of all modules of the package, by name."""
    return {
        measurement.name: measurement
        for module in import_modules(measurements)
        for measurement in getattr(module, 'MEASUREMENTS', ())
    }
