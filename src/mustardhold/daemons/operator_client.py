"""HTTP client for the operators' commands."""

import itertools
import time
import uuid
from collections.abc import Callable, Sequence
from http import HTTPStatus

import httpx
import msgspec

from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import (
    Edit,
    EditOutcome,
    EntryKind,
    NoQuorum,
    Overloaded,
    Pool,
    RepeatedEdit,
    Route,
    RoutingTable,
    Unknown,
)

TIMEOUT_SECONDS = 5
TRIES = 6

AnyOutcome = EditOutcome | RepeatedEdit


def make_edit(
    table: RoutingTable, entry: Route | Pool, edit_id: str | None
) -> Edit:
    """Make an edit that replaces an entry.

    It expects the version that the entry has in ``table``, or 0 for a new one.
    """
    is_route = isinstance(entry, Route)
    kind = EntryKind.ROUTE if is_route else EntryKind.POOL
    return Edit(
        edit_id or uuid.uuid4().hex,
        kind,
        entry.name,
        table.entry_versions.get(f'{kind}/{entry.name}', 0),
        route=entry if isinstance(entry, Route) else None,
        pool=entry if isinstance(entry, Pool) else None,
    )


def make_deletion(
    table: RoutingTable, kind: EntryKind, name: str, edit_id: str | None
) -> Edit:
    """Make an edit that deletes an entry.

    It expects the version that the entry has in ``table``.
    """
    version = table.entry_versions.get(f'{kind}/{name}', 0)
    return Edit(edit_id or uuid.uuid4().hex, kind, name, version)


def fetch(addresses: Sequence[str], path: str) -> Outcome[bytes, str]:
    """Get a path from the first address that responds."""
    reasons = []
    for address in addresses:
        try:
            reply = httpx.get(
                f'http://{address}{path}', timeout=TIMEOUT_SECONDS
            )
        except httpx.HTTPError as error:
            reasons.append(f'{address}: {error}')
        else:
            return Ok(reply.content)
    return Err('; '.join(reasons))


def fetch_table(addresses: Sequence[str]) -> Outcome[RoutingTable, str]:
    """Fetch the routing table from a control replica."""
    response = fetch(addresses, '/table')
    if isinstance(response, Err):
        return response
    return Ok(msgspec.json.decode(response.value, type=RoutingTable))


def send_edit(
    addresses: Sequence[str], edit: Edit, tries: int = TRIES
) -> Outcome[AnyOutcome, str]:
    """Send an edit, and retry it under its id until the outcome is certain.

    Returns
    -------
    Outcome
        The outcome of the edit; unknown if one of the tries may have been
        committed, and an error if no replica was reached at all.
    """
    body = msgspec.json.encode(edit)
    return send_until_certain(
        addresses, lambda address: post(address, '/edits', body), tries
    )


def send_until_certain(
    addresses: Sequence[str],
    post_to: Callable[[str], Outcome[AnyOutcome, str]],
    tries: int,
    pause_seconds: float = 0,
) -> Outcome[AnyOutcome, str]:
    """Post to one address after the other until the outcome is certain.

    Parameters
    ----------
    post_to
        Posts to an address; an error if that certainly was not reached.
    pause_seconds
        Time between two tries.

    Returns
    -------
    Outcome
        The certain outcome; unknown if one of the tries may have been
        committed, and an error if no address was reached at all.
    """
    reasons: list[str] = []
    latest: AnyOutcome | None = None
    for attempt, address in enumerate(
        itertools.islice(itertools.cycle(addresses), tries)
    ):
        if attempt:
            time.sleep(pause_seconds)
        posted = post_to(address)
        if isinstance(posted, Err):
            reasons.append(f'{address}: {posted.error}')
            continue
        if is_certain(posted.value):
            return posted
        latest = more_cautious(latest, posted.value)
    if latest is not None:
        return Ok(latest)
    return Err('; '.join(reasons) or 'no control address')


def post(address: str, path: str, body: bytes) -> Outcome[AnyOutcome, str]:
    """Post an edit or an order to one replica.

    A request that may have reached the replica without a valid response has
    an unknown outcome.
    """
    try:
        reply = httpx.post(
            f'http://{address}{path}',
            content=body,
            timeout=TIMEOUT_SECONDS,
        )
    except (
        httpx.ConnectError,
        httpx.ConnectTimeout,
        httpx.InvalidURL,
    ) as error:
        return Err(str(error))
    except httpx.HTTPError:
        return Ok(Unknown())
    if reply.status_code == HTTPStatus.INTERNAL_SERVER_ERROR:
        # The body has the form of a refusal, but the replica may have failed
        # after it had sent the command to others.
        return Ok(Unknown())
    try:
        return Ok(msgspec.json.decode(reply.content, type=AnyOutcome))
    except msgspec.DecodeError:
        return Ok(Unknown())


def is_certain(outcome: AnyOutcome) -> bool:
    """Return whether another replica would give the same outcome."""
    return not isinstance(outcome, NoQuorum | Overloaded | Unknown)


def more_cautious(
    earlier: AnyOutcome | None, outcome: AnyOutcome
) -> AnyOutcome:
    """Return the outcome to report after another uncertain one.

    An earlier unknown outcome stays, because that edit may be committed.
    """
    return earlier if isinstance(earlier, Unknown) else outcome


def replace_replica(
    addresses: Sequence[str], instance_id: str
) -> Outcome[bytes, str]:
    """Request the replacement of a replica that lost its data folder."""
    reasons = []
    for address in addresses:
        try:
            reply = httpx.post(
                f'http://{address}/replicas',
                params={'replace': instance_id},
                timeout=TIMEOUT_SECONDS,
            )
        except httpx.HTTPError as error:
            reasons.append(f'{address}: {error}')
            continue
        if reply.is_success:
            return Ok(reply.content)
        reasons.append(f'{address}: {reply.text}')
    return Err('; '.join(reasons))
