"""The ``explain`` command: decisions of a running fleet and their reasons."""

import argparse
from collections.abc import Iterator
from datetime import UTC, datetime

import msgspec

from mustardhold.commands.fetching import Responses, fetch_all
from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    print_error,
    print_line,
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
    """Parse ``CALLER-ADDRESS,SERVICE-ADDRESS`` to a hexadecimal flow key."""
    caller, _, service = text.partition(',')
    try:
        return Ok((pack_address(caller) + pack_address(service)).hex())
    except ValueError as error:
        return Err(str(error))


Query = dict[str, str]


def parse_subject(text: str) -> Outcome[list[Query], str]:
    """Return the queries for a subject: a flow, a request or an edit.

    An id of the length of a request id may also be that of an edit; then both
    are queried.
    """
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
    """Run the ``explain`` command for a flow, a request or an edit."""
    queries = parse_subject(arguments.subject)
    if isinstance(queries, Err):
        print_error(queries.error)
        return EXIT_USAGE
    found = 0
    for query in queries.value:
        responses = fetch_all(arguments.at, '/explain', query)
        for line in format_explanations(responses):
            found += 1
            print_line(line)
    if not found:
        print_error('none of the queried processes has a record of it')
    return EXIT_OK if found else EXIT_FAILED


def format_explanations(responses: Responses) -> Iterator[str]:
    """Format the responses of the processes, with decisions sorted by time.

    A balancer responds with its decisions and perhaps a flow, a control replica
    with an edit. Error responses are skipped, such as that of a control replica
    without a record of the edit.
    """
    decisions: list[DecisionEntry] = []
    for address, response in responses.items():
        if isinstance(response, Err):
            continue
        try:
            explanation = msgspec.json.decode(response.value, type=Explanation)
        except msgspec.DecodeError:
            yield format_edit(address, response.value)
            continue
        decisions.extend(explanation.decisions)
        if explanation.flow is not None:
            yield format_flow(explanation.flow)
    for decision in sorted(decisions, key=lambda decision: decision.at):
        yield format_decision(decision)


def format_edit(address: str, raw: bytes) -> str:
    """Format a control replica's explanation of an edit."""
    try:
        edit = msgspec.json.decode(raw, type=EditExplanation)
    except msgspec.DecodeError:
        return f'{address}: {raw.decode()}'
    origin = edit.record.origin
    source = ''
    if origin is not None:
        at = datetime.fromtimestamp(origin.taken_at, UTC)
        source = (
            f', taken by {origin.leader_id} at '
            f'{at.isoformat(timespec="milliseconds")} in term {origin.term} '
            f'as entry {origin.index}'
        )
    return (
        f'{edit.replica_id}: edit {edit.edit_id}: {edit.record.outcome}{source}'
        f'; of the balancers that poll it, applied by '
        f'{", ".join(edit.in_force) or "none"}, not yet by '
        f'{", ".join(edit.not_in_force) or "none"}'
    )


def format_flow(flow: FlowExplanation) -> str:
    """Format a balancer's explanation of a flow."""
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


def format_decision(entry: DecisionEntry) -> str:
    """Format a decision as one line."""
    request = f' request {entry.request_id}' if entry.request_id else ''
    return (
        f'{entry.at.isoformat(timespec="milliseconds")} {entry.instance_id}:'
        f'{request} {entry.outcome} -> {entry.target}: {entry.reason} '
        f'(table {entry.table_version}, view {entry.view_epoch})'
    )
