"""Operators that edit routing tables, and balancers that install them."""

import functools
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    Edit,
    EntryKind,
    Pool,
    RepeatedEdit,
    RoutingTable,
    empty_table,
)
from tools.fakes.event_queue import Action, EventQueue, schedule
from tools.fakes.linearizability import Call, find_order
from tools.fakes.network import Network, send
from tools.fakes.replicas import AnyOutcome, Reply
from tools.registry import Violation

RESEND_SECONDS = 1.5
MAX_ATTEMPTS = 12
POLL_SECONDS = 0.2
POOLS = ('werkstatt', 'katalog')

Submit = Callable[[str, Edit, Reply], None]
ReadTable = Callable[[str], RoutingTable | None]


@dataclass(frozen=True, slots=True)
class ControlService:
    """The interface through which clients reach the control replicas.

    Attributes
    ----------
    submit
        Submits an edit to the named replica, which replies asynchronously.
    read_table
        Returns the table of the named replica, or None if it is not running.
    """

    queue: EventQueue
    network: Network
    names: tuple[str, ...]
    submit: Submit
    read_table: ReadTable


@dataclass(slots=True)
class Clients:
    """Operators and balancers of a run, and the replies they received.

    Attributes
    ----------
    outcomes_by_edit_id
        Definite outcomes by edit id; a repeated edit counts as its first.
    installed_at
        Virtual time of installation, by balancer and version.
    reverted
        Installed tables that lack an entry version of their predecessor.
    """

    service: ControlService
    balancers_by_name: dict[str, RoutingTable] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    outcomes_by_edit_id: dict[str, list[Accepted | Conflict]] = field(
        default_factory=lambda: defaultdict(list)
    )
    installed_at: dict[tuple[str, int], float] = field(default_factory=dict)
    reverted: list[str] = field(default_factory=list)


def add_balancer(clients: Clients, name: str) -> None:
    """Add a balancer that polls a random replica each time."""
    clients.balancers_by_name[name] = empty_table()
    service = clients.service

    def poll() -> None:
        schedule(service.queue, POLL_SECONDS, poll)
        replica = service.queue.rng.choice(service.names)
        send(service.network, name, replica, lambda: return_table(replica))

    def return_table(replica: str) -> None:
        table = service.read_table(replica)
        if table is not None:
            send(
                service.network,
                replica,
                name,
                lambda: install(clients, name, table),
            )

    schedule(service.queue, POLL_SECONDS, poll)


def install(clients: Clients, name: str, table: RoutingTable) -> None:
    """Install a newer table, and record entries whose version went back."""
    current = clients.balancers_by_name[name]
    if table.version <= current.version:
        return
    clients.balancers_by_name[name] = table
    now = clients.service.queue.now
    for version in range(current.version + 1, table.version + 1):
        clients.installed_at[name, version] = now
    for entry, version in current.entry_versions.items():
        if table.entry_versions.get(entry, 0) < version:
            clients.reverted.append(f'{entry} of version {version} at {name}')


def pool_edit(edit_id: str, name: str, version: int) -> Edit:
    """Make a pool edit that stores its edit id in the pool."""
    pool = Pool(name, drained=(edit_id,))
    return Edit(edit_id, EntryKind.POOL, name, version, pool=pool)


def start_operator(clients: Clients, name: str, until: float) -> None:
    """Start an operator that sends one edit after another."""
    queue = clients.service.queue

    def send_next() -> None:
        if queue.now >= until:
            return
        pool = queue.rng.choice(POOLS)
        table = clients.balancers_by_name[
            queue.rng.choice(list(clients.balancers_by_name))
        ]
        version = table.entry_versions.get(f'pool/{pool}', 0)
        edit = pool_edit(f'{name}-{len(clients.calls)}', pool, version)
        send_edit(clients, name, edit, then=pause)

    def pause() -> None:
        schedule(queue, queue.rng.uniform(0.05, 0.6), send_next)

    schedule(queue, queue.rng.uniform(0, 0.5), send_next)


@dataclass(slots=True)
class PendingEdit:
    """An edit in flight, until a definite outcome is received."""

    clients: Clients
    operator: str
    edit: Edit
    call: Call
    then: Action
    attempts: int = 0


def send_edit(
    clients: Clients, operator: str, edit: Edit, then: Action | None = None
) -> Call:
    """Send an edit, and resend it until a definite outcome is received."""
    call = Call(
        edit.edit_id,
        edit.name,
        edit.expected_version,
        clients.service.queue.now,
    )
    clients.calls.append(call)
    attempt(PendingEdit(clients, operator, edit, call, then or (lambda: None)))
    return call


def attempt(pending: PendingEdit) -> None:
    """Send an edit to a random replica, and schedule the next attempt."""
    if math.isfinite(pending.call.returned_at):
        return
    pending.attempts += 1
    if pending.attempts > MAX_ATTEMPTS:
        pending.then()
        return
    service = pending.clients.service
    replica = service.queue.rng.choice(service.names)

    def respond(outcome: AnyOutcome) -> None:
        deliver = functools.partial(record_outcome, pending, outcome)
        send(service.network, replica, pending.operator, deliver)

    submit = functools.partial(service.submit, replica, pending.edit, respond)
    send(service.network, pending.operator, replica, submit)
    schedule(service.queue, RESEND_SECONDS, functools.partial(attempt, pending))


def record_outcome(pending: PendingEdit, outcome: AnyOutcome) -> None:
    """Record a definite outcome; the first one completes the call."""
    first = outcome.first if isinstance(outcome, RepeatedEdit) else outcome
    if not isinstance(first, Accepted | Conflict):
        return
    call = pending.call
    pending.clients.outcomes_by_edit_id[call.edit_id].append(first)
    if math.isfinite(call.returned_at):
        return
    call.returned_at = pending.clients.service.queue.now
    call.outcome = first
    pending.then()


def accepted_calls(clients: Clients) -> list[tuple[Call, int]]:
    """Return the accepted calls with the versions they produced."""
    return [
        (call, call.outcome.version)
        for call in clients.calls
        if isinstance(call.outcome, Accepted)
    ]


def find_lost_edits(
    clients: Clients, tables: list[tuple[str, RoutingTable]]
) -> list[Violation]:
    """Find accepted edits that are missing from a table, and reverted ones."""
    promise = 'an accepted edit is in force everywhere and never reverts'
    lost = [
        f'{call.edit_id}, accepted as version {version} at '
        f'{call.returned_at:.2f} s, is not in the table of {name}'
        for name, table in tables
        for call, version in accepted_calls(clients)
        if not has_edit(table, call, version)
    ]
    return [
        Violation(promise, description)
        for description in lost + clients.reverted
    ]


def has_edit(table: RoutingTable, call: Call, version: int) -> bool:
    """Return whether a table holds an accepted edit or a later one."""
    current = table.entry_versions.get(f'pool/{call.entry}', 0)
    if current != version:
        return current > version
    pool = table.pools_by_name[call.entry]
    return pool.drained == (call.edit_id,)


def find_unordered_edits(clients: Clients) -> list[Violation]:
    """Find entries whose edits are not linearizable."""
    calls_by_entry: dict[str, list[Call]] = defaultdict(list)
    for call in clients.calls:
        calls_by_entry[call.entry].append(call)
    return [
        Violation(
            'of edits with equal versions one wins, and the others name it',
            f'no order explains the {len(calls)} edits of {entry}',
        )
        for entry, calls in calls_by_entry.items()
        if find_order(calls) is None
    ]


def find_changed_outcomes(clients: Clients) -> list[Violation]:
    """Find edit ids that received two different outcomes."""
    return [
        Violation(
            'a resent edit gets its first outcome and is applied once',
            f'{edit_id} got {outcomes[0]}, then {outcome}',
        )
        for edit_id, outcomes in clients.outcomes_by_edit_id.items()
        for outcome in outcomes
        if outcome != outcomes[0]
    ]
