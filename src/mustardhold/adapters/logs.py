"""Rate-limited, non-blocking JSON logs on standard output."""

import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass

from pythonjsonlogger.json import JsonFormatter

from mustardhold.tables.constants import (
    LOG_LINES_BURST,
    LOG_LINES_PER_SECOND,
    MAX_LOG_BACKLOG_BYTES,
)

STANDARD_OUTPUT = 1
FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


@dataclass(slots=True)
class LineBudget:
    """The rate limit of one log message, as a token bucket.

    Attributes
    ----------
    lines
        Lines that may be written now.
    refilled_at
        Local time of the last update of ``lines``, in seconds.
    left_out
        Lines suppressed since the last line that was written.
    """

    lines: float
    refilled_at: float
    left_out: int = 0


@dataclass(slots=True)
class LineWriter:
    """Writes lines to a file descriptor that may be full or closed.

    Attributes
    ----------
    backlog
        Bytes that could not be written yet.
    lost
        Lines dropped because the backlog was full or the reader had gone.
    """

    descriptor: int
    backlog: bytes = b''
    lost: int = 0


def make_writer(descriptor: int) -> LineWriter:
    """Return a writer; set its descriptor non-blocking unless a terminal.

    A full pipe or socket therefore never blocks the process.
    """
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    return LineWriter(descriptor)


def write_line(writer: LineWriter, line: bytes) -> None:
    """Write the backlog and a line; if there is no room, count it as lost."""
    if len(writer.backlog) + len(line) > MAX_LOG_BACKLOG_BYTES:
        writer.lost += 1
        line = b''
    writer.backlog += line
    try:
        written = os.write(writer.descriptor, writer.backlog)
    except BlockingIOError:
        return
    except OSError:
        # The reader has closed its end, so the error cannot be reported.
        writer.lost += 1
        writer.backlog = b''
        return
    writer.backlog = writer.backlog[written:]


class BoundedHandler(logging.Handler):
    """Log handler with a rate limit per message; counts suppressed lines."""

    def __init__(
        self, writer: LineWriter, monotonic: Callable[[], float]
    ) -> None:
        """Initialize the handler with its writer and clock."""
        super().__init__()
        self.writer = writer
        self.monotonic = monotonic
        self.budgets_by_message: dict[str, LineBudget] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless the rate limit of its message is exceeded."""
        budget = self.refill(str(record.msg))
        if budget.lines < 1:
            budget.left_out += 1
            return
        budget.lines -= 1
        if budget.left_out:
            record.left_out = budget.left_out
            budget.left_out = 0
        if self.writer.lost:
            record.lost_lines = self.writer.lost
        write_line(self.writer, f'{self.format(record)}\n'.encode())

    def refill(self, message: str) -> LineBudget:
        """Return the budget of a message, refilled for the elapsed time."""
        now = self.monotonic()
        budget = self.budgets_by_message.get(message)
        if budget is None:
            budget = LineBudget(LOG_LINES_BURST, now)
            self.budgets_by_message[message] = budget
        refill_lines = (now - budget.refilled_at) * LOG_LINES_PER_SECOND
        budget.lines = min(budget.lines + refill_lines, LOG_LINES_BURST)
        budget.refilled_at = now
        return budget


def is_line_allowed(log: logging.Logger, message: str) -> bool:
    """Return whether a line would be written; if not, count it as suppressed.

    Checking first avoids the cost of preparing a line that is suppressed.
    """
    if not log.isEnabledFor(logging.INFO):
        return False
    for handler in log.handlers:
        if isinstance(handler, BoundedHandler):
            budget = handler.refill(message)
            if budget.lines < 1:
                budget.left_out += 1
                return False
    return True


def start_logs(program: str, instance_id: str) -> logging.Logger:
    """Configure JSON logging to standard output.

    Returns
    -------
    logging.Logger
        The logger of the program.
    """
    writer = make_writer(STANDARD_OUTPUT)
    handler = BoundedHandler(writer, time.monotonic)
    handler.setFormatter(
        JsonFormatter(
            FIELDS, static_fields={'program': program, 'instance': instance_id}
        )
    )
    logger = logging.getLogger('mustardhold')
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger
