"""Log lines about reports of backend servers."""

import logging

from mustardhold.tables.directory import ServerReport, ServerState


def log_report(log: logging.Logger, report: ServerReport) -> None:
    """Log a server's report unless it only repeats that the server is ready."""
    if report.sequence > 1 and report.state is ServerState.READY:
        return
    log.info(
        'server known',
        extra={
            'server': report.server_id,
            'incarnation': report.incarnation,
            'sequence': report.sequence,
            'state': report.state,
            'address': report.address,
        },
    )
