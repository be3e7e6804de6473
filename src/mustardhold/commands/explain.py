"""Which decision was taken in a running fleet, and why."""

import argparse
from collections.abc import Iterator
from datetime import UTC, datetime

import msgspec

from mustardhold.commands.fetching import Pages, fetch_each
from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    complain,
    say,
)
from mustardhold.systems.addresses import pack_address
from mustardhold.tables.constants import FLOW_KEY_BYTES, REQUEST_ID_BYTES
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.status import (
    DecisionEntry,
    EditExplanation,
    Explanation,
    FlowExplanation,
)


def read_flow(text: str) -> Outcome[str, str]:
    """Read a flow given as ``CALLER-ADDRESS,SERVICE-ADDRESS``."""
    caller, _, service = text.partition(',')
    try:
        return Ok((pack_address(caller) + pack_address(service)).hex())
    except ValueError as error:
        return Err(str(error))


Query = dict[str, str]


def queries_for(text: str) -> Outcome[list[Query], str]:
    """Choose what to ask for; an id may be of a request or of an edit."""
    if ',' in text:
        flow = read_flow(text)
        return flow if isinstance(flow, Err) else Ok([{'flow': flow.value}])
    try:
        length = len(bytes.fromhex(text))
    except ValueError:
        length = 0
    if length == FLOW_KEY_BYTES:
        return Ok([{'flow': text}])
    edit = {'edit': text}
    if length == REQUEST_ID_BYTES:
        return Ok([{'request': text}, edit])
    return Ok([edit])


def run_explain(arguments: argparse.Namespace) -> int:
    """Print what the fleet knows of a flow, a request or an edit."""
    queries = queries_for(arguments.subject)
    if isinstance(queries, Err):
        complain(queries.error)
        return EXIT_USAGE
    found = 0
    for query in queries.value:
        pages = fetch_each(arguments.at, '/explain', query)
        for line in lines_of(pages):
            found += 1
            say(line)
    if not found:
        complain('no process that was asked knows of it')
    return EXIT_OK if found else EXIT_FAILED


def lines_of(pages: Pages) -> Iterator[str]:
    """Tell what processes answered, their decisions in order of time."""
    decisions: list[DecisionEntry] = []
    for address, page in pages.items():
        if isinstance(page, Err):
            continue
        try:
            shown = msgspec.json.decode(page.value, type=Explanation)
        except msgspec.DecodeError:
            yield edit_line(address, page.value)
            continue
        decisions.extend(shown.decisions)
        if shown.flow is not None:
            yield flow_line(shown.flow)
    for one in sorted(decisions, key=lambda one: one.at):
        yield decision_line(one)


def edit_line(address: str, raw: bytes) -> str:
    """Tell what a control replica knows of an edit."""
    try:
        edit = msgspec.json.decode(raw, type=EditExplanation)
    except msgspec.DecodeError:
        return f'{address}: {raw.decode()}'
    origin = edit.record.origin
    taken = ''
    if origin is not None:
        at = datetime.fromtimestamp(origin.taken_at, UTC)
        taken = (
            f', taken by {origin.leader_id} at '
            f'{at.isoformat(timespec="milliseconds")} in term {origin.term} '
            f'as entry {origin.index}'
        )
    return (
        f'{edit.replica_id}: edit {edit.edit_id}: {edit.record.outcome}{taken}'
        f'; of the balancers that poll it, in force at '
        f'{", ".join(edit.in_force) or "none"}, not yet at '
        f'{", ".join(edit.not_in_force) or "none"}'
    )


def flow_line(flow: FlowExplanation) -> str:
    """Tell what a balancer knows of a flow."""
    service = flow.service or 'no service'
    record = 'no record here'
    if flow.backend_id:
        state = flow.backend_state or 'unknown'
        record = f'recorded on {flow.backend_id} ({state})'
    return (
        f'{flow.instance_id}: flow {flow.flow} of {service}, bucket '
        f'{flow.bucket}, owners {", ".join(flow.owners)}, {record}; table '
        f'{flow.table_version}, view {flow.view_epoch}'
    )


def decision_line(one: DecisionEntry) -> str:
    """Tell one decision."""
    request = f' request {one.request_id}' if one.request_id else ''
    return (
        f'{one.at.isoformat(timespec="milliseconds")} {one.instance_id}:'
        f'{request} {one.outcome} -> {one.target}: {one.reason} '
        f'(table {one.table_version}, view {one.view_epoch})'
    )
