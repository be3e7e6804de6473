"""The operator's commands, over HTTP."""

import itertools
import uuid
from collections.abc import Sequence

import httpx
import msgspec

from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import (
    Edit,
    EditOutcome,
    EntryKind,
    Pool,
    RepeatedEdit,
    Route,
    RoutingTable,
)

TIMEOUT_SECONDS = 5

AnyOutcome = EditOutcome | RepeatedEdit


def make_edit(
    table: RoutingTable, entry: Route | Pool, edit_id: str | None
) -> Edit:
    """Make an edit that replaces an entry as a table shows it."""
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
    """Make an edit that deletes an entry as a table shows it."""
    version = table.entry_versions.get(f'{kind}/{name}', 0)
    return Edit(edit_id or uuid.uuid4().hex, kind, name, version)


def fetch(addresses: Sequence[str], path: str) -> Outcome[bytes, str]:
    """Get a page from the first address that answers."""
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
    """Get the routing table from a control replica."""
    page = fetch(addresses, '/table')
    if isinstance(page, Err):
        return page
    return Ok(msgspec.json.decode(page.value, type=RoutingTable))


def send_edit(
    addresses: Sequence[str], edit: Edit, tries: int = 3
) -> Outcome[AnyOutcome, str]:
    """Send an edit, and again under the same id after a lost answer."""
    reason = 'no control address'
    for address in itertools.islice(itertools.cycle(addresses), tries):
        try:
            reply = httpx.post(
                f'http://{address}/edits',
                content=msgspec.json.encode(edit),
                timeout=TIMEOUT_SECONDS,
            )
        except httpx.HTTPError as error:
            reason = f'{address}: {error}'
        else:
            return Ok(msgspec.json.decode(reply.content, type=AnyOutcome))
    return Err(reason)
