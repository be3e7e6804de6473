"""JSON log lines on standard output, bounded in volume, never blocking."""

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
class Budget:
    """How many lines of one message may still be written.

    Attributes
    ----------
    refilled_at
        When ``lines`` was last brought up to date; local clock.
    left_out
        Lines that were not written since the last one that was.
    """

    lines: float
    refilled_at: float
    left_out: int = 0


@dataclass(slots=True)
class LineWriter:
    """Writes whole lines to a descriptor that may not take them.

    Attributes
    ----------
    backlog
        Rest of what the descriptor took only in part.
    lost
        Lines that found no room.
    """

    descriptor: int
    backlog: bytes = b''
    lost: int = 0


def make_writer(descriptor: int) -> LineWriter:
    """Write to a descriptor; a pipe or socket never makes the writer wait."""
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    return LineWriter(descriptor)


def write_line(writer: LineWriter, line: bytes) -> None:
    """Write a line, or count it as lost."""
    if len(writer.backlog) + len(line) > MAX_LOG_BACKLOG_BYTES:
        writer.lost += 1
        line = b''
    writer.backlog += line
    try:
        written = os.write(writer.descriptor, writer.backlog)
    except BlockingIOError:
        return
    except OSError:
        # The reader is gone for good; there is nobody left to tell.
        writer.lost += 1
        writer.backlog = b''
        return
    writer.backlog = writer.backlog[written:]


class BoundedHandler(logging.Handler):
    """Writes each message at a bounded rate, and counts what it leaves out."""

    def __init__(
        self, writer: LineWriter, monotonic: Callable[[], float]
    ) -> None:
        """Write lines to a writer."""
        super().__init__()
        self.writer = writer
        self.monotonic = monotonic
        self.budgets_by_message: dict[str, Budget] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, unless its message has used its budget up."""
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

    def refill(self, message: str) -> Budget:
        """Return a message's budget, refilled up to now."""
        now = self.monotonic()
        budget = self.budgets_by_message.get(message)
        if budget is None:
            budget = Budget(LOG_LINES_BURST, now)
            self.budgets_by_message[message] = budget
        gained = (now - budget.refilled_at) * LOG_LINES_PER_SECOND
        budget.lines = min(budget.lines + gained, LOG_LINES_BURST)
        budget.refilled_at = now
        return budget


def is_line_allowed(log: logging.Logger, message: str) -> bool:
    """Tell whether a line would be written; else it counts as left out.

    So that a line that is left out costs nothing more.
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
    """Write JSON lines to standard output.

    Returns
    -------
    logging.Logger
        The program's logger.
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
