"""The ``data-centre`` command: evacuation of data centres."""

import argparse
from collections.abc import Sequence
from datetime import UTC, datetime
from http import HTTPStatus

import httpx
import msgspec

from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    print_error,
    print_errors,
    print_line,
)
from mustardhold.daemons.operator_client import (
    TIMEOUT_SECONDS,
    AnyOutcome,
    post,
    send_until_certain,
)
from mustardhold.tables.evacuations import (
    EVACUATIONS_PATH,
    EvacuationAction,
    EvacuationOrder,
    EvacuationState,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Accepted, Refused

# Together longer than the election of a leader takes.
TRIES = 12
PAUSE_SECONDS = 0.5


def run_data_centre(arguments: argparse.Namespace) -> int:
    """Order or revoke an evacuation, or list those in force."""
    if arguments.action == 'list':
        return list_evacuations(arguments.control)
    order = EvacuationOrder(arguments.name, EvacuationAction(arguments.action))
    sent = send_order(arguments.control, order)
    if isinstance(sent, Err):
        print_error(f'not sent: {sent.error}')
        return EXIT_FAILED
    return report_outcome(order, sent.value)


def send_order(
    addresses: Sequence[str], order: EvacuationOrder
) -> Outcome[AnyOutcome, str]:
    """Send an order to one instance after the other until it is certain.

    An order may be repeated: it changes nothing the second time.
    """
    body = msgspec.json.encode(order)
    return send_until_certain(
        addresses,
        lambda address: post(address, EVACUATIONS_PATH, body),
        TRIES,
        PAUSE_SECONDS,
    )


def report_outcome(order: EvacuationOrder, outcome: AnyOutcome) -> int:
    """Print the outcome of an order and return the exit code."""
    name = f'{order.action} {order.data_centre}'
    if isinstance(outcome, Accepted):
        print_line(f'{name} acknowledged, revision {outcome.version}')
        return EXIT_OK
    print_error(f'{name} not acknowledged')
    if isinstance(outcome, Refused):
        print_errors(f'{one.place}: {one.message}' for one in outcome.findings)
    else:
        print_error('no majority of the control instances confirmed it')
    return EXIT_FAILED


def list_evacuations(addresses: Sequence[str]) -> int:
    """Print the evacuated data centres, one a line."""
    fetched = fetch_evacuations(addresses)
    if isinstance(fetched, Err):
        print_error(fetched.error)
        return EXIT_FAILED
    for one in fetched.value.data_centres:
        ordered_at = datetime.fromtimestamp(one.ordered_at, UTC)
        print_line(
            f'{one.name} since {ordered_at:%Y-%m-%dT%H:%M:%SZ} '
            f'by {one.requester}'
        )
    return EXIT_OK


def fetch_evacuations(
    addresses: Sequence[str],
) -> Outcome[EvacuationState, str]:
    """Fetch the state from the first instance that is certain of it."""
    reasons = []
    for address in addresses:
        fetched = fetch_from(address)
        if isinstance(fetched, Ok):
            return fetched
        reasons.append(f'{address}: {fetched.error}')
    return Err('; '.join(reasons))


def fetch_from(address: str) -> Outcome[EvacuationState, str]:
    """Fetch the state from one instance."""
    url = f'http://{address}{EVACUATIONS_PATH}'
    try:
        reply = httpx.get(url, timeout=TIMEOUT_SECONDS)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        return Err(str(error))
    if reply.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
        return Err('knows no leader that a majority confirms')
    if not reply.is_success:
        return Err(f'answers with status {reply.status_code}')
    try:
        return Ok(msgspec.json.decode(reply.content, type=EvacuationState))
    except msgspec.DecodeError as error:
        return Err(str(error))
