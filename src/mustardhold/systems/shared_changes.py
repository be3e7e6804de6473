"""Decides which reports of backend servers other processes have to receive."""

from mustardhold.tables.constants import SLOW_START_TOLERANCE
from mustardhold.tables.directory import KnownServer, ServerReport


def is_shared_change(previous: ServerReport, report: ServerReport) -> bool:
    """Return whether other processes have to receive a newer report."""
    return (
        previous.state,
        previous.address,
        previous.service,
        previous.data_centre,
        previous.slots,
    ) != (
        report.state,
        report.address,
        report.service,
        report.data_centre,
        report.slots,
    )


def is_new_slow_start(
    known: KnownServer, slow_until: float, report: ServerReport
) -> bool:
    """Return whether a report is the first of another slow start.

    Reports repeat the remaining time. The end that follows from it is compared
    with the shared one, as it moves a little with each report.
    """
    if not report.slow_for_ms:
        return False
    tolerance = SLOW_START_TOLERANCE.total_seconds()
    return slow_until > known.shared_slow_until + tolerance
