"""Joins the log lines of all processes into the story of one subject.

A subject is a flow or its caller, a backend server, or a version of the
configuration. Lines about the servers that the subject's lines name, and
about what the deciding instances heard of control, belong to its story.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
HEAD_FIELDS = frozenset(
    ('asctime', 'levelname', 'name', 'message', 'program', 'instance')
)
SERVER_MESSAGE = 'server known'
INSTANCE_MESSAGES = frozenset(
    (
        'balancer started',
        'balancer stopping',
        'control reached',
        'control lost',
        'configuration in force',
        'server avoided',
    )
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    details
        The fields besides time, level, process and message.
    """

    at: datetime
    instance: str
    message: str
    details: dict[str, Any]


@dataclass(slots=True)
class LogLines:
    """What was read of some logs.

    Attributes
    ----------
    skipped
        Lines that are no log lines of ours, or only a part of one.
    """

    lines: list[LogLine]
    skipped: int = 0


def parse_logs(texts: Iterable[str]) -> LogLines:
    """Read log lines; anything before the first brace is left out."""
    read = LogLines([])
    for text in texts:
        line = read_line(text)
        if line is None:
            read.skipped += bool(text.strip())
        else:
            read.lines.append(line)
    read.lines.sort(key=lambda line: line.at)
    return read


def read_line(text: str) -> LogLine | None:
    """Read one line; nothing where it is cut off or of another kind."""
    start = text.find('{')
    try:
        tree = json.loads(text[start:]) if start >= 0 else None
    except (ValueError, RecursionError):
        return None
    if not isinstance(tree, dict):
        return None
    try:
        at = datetime.strptime(str(tree['asctime']), TIME_FORMAT)  # noqa: DTZ007
        details = {key: tree[key] for key in tree if key not in HEAD_FIELDS}
        return LogLine(at, str(tree['instance']), str(tree['message']), details)
    except (KeyError, ValueError):
        return None


def names_subject(line: LogLine, subject: str) -> bool:
    """Tell whether a line is about a subject itself."""
    flow = str(line.details.get('flow', ''))
    if flow and (flow == subject or is_caller(flow, subject)):
        return True
    if subject == line.details.get('server'):
        return True
    if subject in servers_named(line):
        return True
    is_version = subject.isdigit() and 'flow' not in line.details
    return is_version and line.details.get('version') == int(subject)


def servers_named(line: LogLine) -> list[str]:
    """Return the servers that a line names; some lines only count them."""
    named = line.details.get('servers')
    return named if isinstance(named, list) else []


def is_caller(flow: str, subject: str) -> bool:
    """Tell whether a flow is of a caller, given with or without its port."""
    caller = flow.partition('>')[0]
    return subject in {caller, caller.partition(':')[0]}


def select_timeline(
    lines: list[LogLine], subject: str, window: timedelta
) -> Iterator[LogLine]:
    """Yield what happened to a subject, and what was believed meanwhile.

    Parameters
    ----------
    window
        How long before and after the subject's own lines a belief counts.
    """
    own = [line for line in lines if names_subject(line, subject)]
    if not own:
        return
    begin, end = own[0].at - window, own[-1].at + window
    servers = {name for line in own for name in (*servers_named(line), subject)}
    instances = {line.instance for line in own}
    chosen = {id(line) for line in own}
    for line in lines:
        is_near = begin <= line.at <= end
        if id(line) in chosen or (
            is_near and is_belief(line, servers, instances)
        ):
            yield line


def is_belief(line: LogLine, servers: set[str], instances: set[str]) -> bool:
    """Tell whether a line says what the deciding instances believed."""
    if line.message == SERVER_MESSAGE:
        return line.details.get('server') in servers
    return line.message in INSTANCE_MESSAGES and line.instance in instances
