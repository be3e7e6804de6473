"""Faults that must not end a loop: counted, and logged once each."""

import logging
from collections import Counter
from dataclasses import dataclass, field

MAX_KNOWN_FAULTS = 256


@dataclass(slots=True)
class Faults:
    """Where a process reports exceptions that it survives."""

    log: logging.Logger
    counters: Counter[tuple[str, str]]
    known: set[str] = field(default_factory=set)


def note_fault(faults: Faults, outcome: str, error: Exception) -> None:
    """Count an exception; log it the first time it comes from a place."""
    faults.counters['', outcome] += 1
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    line = 0 if trace is None else trace.tb_lineno
    place = f'{outcome} {type(error).__name__} line {line}'
    if place in faults.known or len(faults.known) >= MAX_KNOWN_FAULTS:
        return
    faults.known.add(place)
    faults.log.error(outcome, exc_info=error)
