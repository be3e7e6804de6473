"""Builds the timeline of one subject from the logs of all processes.

A subject is a flow or its caller, a backend server, or a version of the
configuration. For context, its timeline also has the lines about the state
of the servers that the subject's lines name, and about what the instances in
those lines knew: their start and stop, contact with control, configuration
and avoided servers.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
STANDARD_FIELDS = frozenset(
    ('asctime', 'levelname', 'name', 'message', 'program', 'instance')
)
SERVER_STATE_MESSAGE = 'server known'
INSTANCE_STATE_MESSAGES = frozenset(
    (
        'balancer started',
        'balancer stopping',
        'feed source reached',
        'feed source lost',
        'configuration in force',
        'server avoided',
        'admission limited',
        'admission unlimited',
    )
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    details
        All fields except time, level, process and message.
    """

    at: datetime
    instance: str
    message: str
    details: dict[str, Any]


@dataclass(slots=True)
class ParsedLogs:
    """The lines parsed from a set of logs.

    Attributes
    ----------
    skipped
        Number of lines that are truncated or no log lines of this product.
    """

    lines: list[LogLine]
    skipped: int = 0


def parse_logs(texts: Iterable[str]) -> ParsedLogs:
    """Parse and sort log lines; text before the first brace is ignored."""
    parsed = ParsedLogs([])
    for text in texts:
        line = parse_line(text)
        if line is None:
            parsed.skipped += bool(text.strip())
        else:
            parsed.lines.append(line)
    parsed.lines.sort(key=lambda line: line.at)
    return parsed


def parse_line(text: str) -> LogLine | None:
    """Parse one line; return None if it is truncated or no log line."""
    start = text.find('{')
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    try:
        at = datetime.strptime(str(fields['asctime']), TIME_FORMAT)  # noqa: DTZ007
        details = {
            key: fields[key] for key in fields if key not in STANDARD_FIELDS
        }
        return LogLine(
            at, str(fields['instance']), str(fields['message']), details
        )
    except (KeyError, ValueError):
        return None


def mentions_subject(line: LogLine, subject: str) -> bool:
    """Return whether a line is about a subject itself."""
    flow = str(line.details.get('flow', ''))
    if flow and (flow == subject or is_from_caller(flow, subject)):
        return True
    if subject == line.details.get('server'):
        return True
    if subject in named_servers(line):
        return True
    is_version = subject.isdigit() and 'flow' not in line.details
    return is_version and line.details.get('version') == int(subject)


def named_servers(line: LogLine) -> list[str]:
    """Return the servers that a line lists; some lines hold only a count."""
    named = line.details.get('servers')
    return named if isinstance(named, list) else []


def is_from_caller(flow: str, subject: str) -> bool:
    """Return whether a flow has a caller, given with or without its port."""
    caller = flow.partition('>')[0]
    return subject in {caller, caller.partition(':')[0]}


def select_timeline(
    lines: list[LogLine], subject: str, window: timedelta
) -> Iterator[LogLine]:
    """Yield the lines about a subject and the context around them.

    Parameters
    ----------
    window
        Time before the first and after the last line about the subject in
        which context is included.
    """
    subject_lines = [line for line in lines if mentions_subject(line, subject)]
    if not subject_lines:
        return
    begin, end = subject_lines[0].at - window, subject_lines[-1].at + window
    servers = {
        name
        for line in subject_lines
        for name in (*named_servers(line), subject)
    }
    instances = {line.instance for line in subject_lines}
    subject_line_ids = {id(line) for line in subject_lines}
    for line in lines:
        is_in_window = begin <= line.at <= end
        if id(line) in subject_line_ids or (
            is_in_window and is_context(line, servers, instances)
        ):
            yield line


def is_context(line: LogLine, servers: set[str], instances: set[str]) -> bool:
    """Return whether a line shows what the instances of a timeline knew."""
    if line.message == SERVER_STATE_MESSAGE:
        return line.details.get('server') in servers
    return (
        line.message in INSTANCE_STATE_MESSAGES and line.instance in instances
    )
