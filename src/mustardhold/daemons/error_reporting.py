"""Counts and logs unexpected errors that must not end a loop."""

import logging
from collections import Counter
from dataclasses import dataclass, field

MAX_LOGGED_LOCATIONS = 256


@dataclass(slots=True)
class ErrorReporter:
    """Counters and log for unexpected errors.

    Attributes
    ----------
    logged_locations
        Outcome, exception type and line of each error that was logged.
    """

    log: logging.Logger
    counters: Counter[tuple[str, str]]
    logged_locations: set[str] = field(default_factory=set)


def report_error(
    error_reporter: ErrorReporter, outcome: str, error: Exception
) -> None:
    """Count an error, and log it if it is the first one from its location.

    Nothing more is logged after ``MAX_LOGGED_LOCATIONS`` locations.
    """
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
