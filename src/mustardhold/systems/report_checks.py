"""Checks reports of backend servers, wherever they come from.

What passes can be stored, sent on and used. The checks hold at each boundary
that reads reports: requests of servers, the feed of another process, which may
run an earlier version, and the files of an earlier run.
"""

from collections.abc import Iterator

from mustardhold.systems.value_formats import find_host_address_error
from mustardhold.tables.constants import (
    MAX_REPORTED_NAME_LENGTH,
    MAX_SERVER_SLOTS,
    MAX_SLOW_START,
)
from mustardhold.tables.directory import LAST_SEQUENCE, ServerReport
from mustardhold.tables.routing import Finding

MAX_SLOW_START_MS = round(MAX_SLOW_START.total_seconds() * 1000)
NAME_KEYS = ('server_id', 'service', 'data_centre')
NUMBER_RANGES = (
    ('slots', 1, MAX_SERVER_SLOTS),
    ('slow_for_ms', 0, MAX_SLOW_START_MS),
    ('incarnation', 0, LAST_SEQUENCE),
    ('sequence', 0, LAST_SEQUENCE),
)


def find_report_errors(report: ServerReport) -> Iterator[Finding]:
    """Yield a finding for each value of a report that is out of range."""
    for key in NAME_KEYS:
        if len(getattr(report, key)) > MAX_REPORTED_NAME_LENGTH:
            yield Finding(
                key, f'is longer than {MAX_REPORTED_NAME_LENGTH} characters'
            )
    for key, lowest, highest in NUMBER_RANGES:
        if not lowest <= getattr(report, key) <= highest:
            yield Finding(key, f'must be from {lowest} to {highest}')
    error = find_host_address_error(report.address)
    if error:
        yield Finding('address', error)


def is_usable(report: ServerReport) -> bool:
    """Return whether all values of a report are within their ranges."""
    return next(find_report_errors(report), None) is None
