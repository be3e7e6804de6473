"""Tests log output: bounded, non-blocking, with counts of dropped lines."""

import json
import logging
import os
from contextlib import suppress

import pytest

from mustardhold.adapters.logs import (
    BoundedHandler,
    JsonFormatter,
    make_writer,
    write_line,
)
from mustardhold.tables.constants import (
    LOG_LINES_BURST,
    LOG_LINES_PER_SECOND,
    MAX_LOG_BACKLOG_BYTES,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        with suppress(OSError):  # a test may have closed it
            os.close(descriptor)


def make_logger(writer, times, name):
    handler = BoundedHandler(writer, lambda: times[0])
    handler.setFormatter(JsonFormatter('%(message)s'))
    logger = logging.getLogger(name)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return logger


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    raw = b''
    while True:
        try:
            part = os.read(descriptor, 1_000_000)
        except BlockingIOError:
            return [json.loads(line) for line in raw.splitlines()]
        raw += part


def test_each_message_has_a_budget_and_omitted_lines_are_counted(pipe):
    times = [0.0]
    logger = make_logger(make_writer(pipe[1]), times, 'budget')
    for _ in range(1000):
        logger.info('opening passed on')
    logger.info('control lost')
    lines = read_lines(pipe[0])
    assert len(lines) == LOG_LINES_BURST + 1
    assert lines[-1] == {'message': 'control lost'}
    times[0] = 1 / LOG_LINES_PER_SECOND
    logger.info('opening passed on')
    assert read_lines(pipe[0]) == [
        {'message': 'opening passed on', 'left_out': 1000 - LOG_LINES_BURST}
    ]


def test_full_pipe_does_not_block_and_drops_whole_lines(pipe):
    times = [0.0]
    writer = make_writer(pipe[1])
    logger = make_logger(writer, times, 'full')
    for number in range(5000):
        times[0] += 1
        logger.info('line', extra={'number': number, 'padding': 'x' * 200})
    assert writer.lost > 0
    assert len(writer.backlog) <= MAX_LOG_BACKLOG_BYTES
    first = read_all_lines(pipe[0], writer)
    numbers = [line['number'] for line in first]
    assert numbers == list(range(len(numbers)))
    logger.info('line', extra={'number': -1})
    assert read_lines(pipe[0])[-1]['lost_lines'] == writer.lost


def read_all_lines(descriptor, writer):
    """Read the pipe and flush the writer's backlog until both are empty."""
    os.set_blocking(descriptor, False)
    raw = b''
    while True:
        try:
            raw += os.read(descriptor, 1_000_000)
        except BlockingIOError:
            if not writer.backlog:
                return [json.loads(line) for line in raw.splitlines()]
            write_line(writer, b'')


def test_closed_reader_loses_the_line_without_an_error(pipe):
    writer = make_writer(pipe[1])
    os.close(pipe[0])
    make_logger(writer, [0.0], 'gone').info('line')
    assert writer.lost == 1
