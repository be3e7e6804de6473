"""Faults that must not end a loop: counted, and logged once each."""

import logging
from collections import Counter
from dataclasses import dataclass, field

MAX_LOGGED_LOCATIONS = 256


@dataclass(slots=True)
class ErrorReporter:
    """Where a process reports exceptions that it survives."""

    log: logging.Logger
    counters: Counter[tuple[str, str]]
    logged_locations: set[str] = field(default_factory=set)


def report_error(
    error_reporter: ErrorReporter, outcome: str, error: Exception
) -> None:
    """Count an exception; log it the first time it comes from a place."""
    error_reporter.counters['', outcome] += 1
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    line = 0 if trace is None else trace.tb_lineno
    location = f'{outcome} {type(error).__name__} line {line}'
    if (
        location in error_reporter.logged_locations
        or len(error_reporter.logged_locations) >= MAX_LOGGED_LOCATIONS
    ):
        return
    error_reporter.logged_locations.add(location)
    error_reporter.log.error(outcome, exc_info=error)
