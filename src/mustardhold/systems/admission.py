"""Admission control: limits on in-flight and queued requests per server."""

import math

from mustardhold.systems.request_records import outcome_due_at, request_key
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    IN_FLIGHT_PER_SLOT,
    MAX_WAITING_REQUESTS,
    QUEUED_PER_SLOT,
    SHED_WINDOW_FACTOR,
)
from mustardhold.tables.requests import (
    ConcurrencyWindow,
    RequestRecord,
    RequestState,
)

SMOOTHING = 0.1


def max_window_limit(tables: BalancerTables, backend_id: str) -> int:
    """Return how many requests one owner may have in flight at a server.

    The members of the view share the capacity of the server equally.
    """
    known = tables.backends_by_id.get(backend_id)
    slots = known.announced.slots if known else 1
    members = max(len(tables.view.members_by_id), 1)
    return max(math.ceil(slots * IN_FLIGHT_PER_SLOT / members), 1)


def window_for(tables: BalancerTables, backend_id: str) -> ConcurrencyWindow:
    """Return the concurrency window of a server; create it if needed."""
    windows = tables.requests.windows_by_backend
    window = windows.get(backend_id)
    if window is None:
        window = ConcurrencyWindow(max_window_limit(tables, backend_id))
        windows[backend_id] = window
    return window


def has_free_slot(window: ConcurrencyWindow) -> bool:
    """Return whether another request may be in flight."""
    return window.in_flight < max(int(window.limit), 1)


def acquire_slot(window: ConcurrencyWindow, record: RequestRecord) -> None:
    """Count a request as in flight."""
    window.in_flight += 1
    record.holds_slot = True


def has_waiting(window: ConcurrencyWindow) -> bool:
    """Return whether requests are queued for a slot."""
    return bool(window.non_idempotent_keys or window.idempotent_keys)


def enqueue(tables: BalancerTables, key: bytes, record: RequestRecord) -> bool:
    """Queue a request, unless the queue of its service or server is full.

    Returns
    -------
    bool
        Whether the request was queued.
    """
    waiting = tables.requests.waiting_by_service
    window = window_for(tables, record.backend_id)
    is_full = waiting[record.service] >= MAX_WAITING_REQUESTS
    if is_full or is_queue_full(window, record):
        tables.counters[record.service, 'request-queue-full'] += 1
        return False
    waiting[record.service] += 1
    queue = (
        window.idempotent_keys
        if record.idempotent
        else window.non_idempotent_keys
    )
    queue.append(key)
    record.state = RequestState.WAITING
    return True


def is_queue_full(window: ConcurrencyWindow, record: RequestRecord) -> bool:
    """Return whether the queue of a server is full for a request.

    Each request that may be in flight at the server allows
    ``QUEUED_PER_SLOT`` in the queue. Queued idempotent requests do not count
    against non-idempotent ones.
    """
    waiting = len(window.non_idempotent_keys)
    if record.idempotent:
        waiting += len(window.idempotent_keys)
    return waiting >= max(window.limit, 1) * QUEUED_PER_SLOT


def has_time_left(
    window: ConcurrencyWindow, record: RequestRecord, now: float
) -> bool:
    """Return whether an answer is expected before the outcome is due."""
    return now + window.response_seconds < outcome_due_at(record)


def next_waiting(window: ConcurrencyWindow) -> bytes | None:
    """Return the key of the next queued request, non-idempotent ones first."""
    queue = window.non_idempotent_keys or window.idempotent_keys
    return queue[0] if queue else None


def leave_queue(tables: BalancerTables, record: RequestRecord) -> None:
    """Remove a waiting request from its queue."""
    if record.state is not RequestState.WAITING:
        return
    tables.requests.waiting_by_service[record.service] -= 1
    window = window_for(tables, record.backend_id)
    queue = (
        window.idempotent_keys
        if record.idempotent
        else window.non_idempotent_keys
    )
    queue.remove(request_key(record.flow, record.request_id))


def end_record(tables: BalancerTables, record: RequestRecord) -> None:
    """End a request and release its slot."""
    leave_queue(tables, record)
    record.state = RequestState.ENDED
    record.packet = None
    release_slot(tables, record)


def release_slot(tables: BalancerTables, record: RequestRecord) -> None:
    """Release the slot of a request that is no longer in flight."""
    if not record.holds_slot:
        return
    record.holds_slot = False
    window = window_for(tables, record.backend_id)
    window.in_flight -= 1
    if has_waiting(window):
        tables.requests.ready_backends.add(record.backend_id)


def widen_window(
    tables: BalancerTables, record: RequestRecord, now: float | None
) -> None:
    """Raise the limit of a window after an answer, up to the owner's share.

    The smoothed response time is updated if ``now`` is given and the request
    was sent only once.
    """
    window = window_for(tables, record.backend_id)
    largest = max_window_limit(tables, record.backend_id)
    window.limit = min(window.limit + 1 / window.limit, largest)
    if now is not None and record.forwards == 1:
        seconds = now - record.sent_at
        window.response_seconds += (
            seconds - window.response_seconds
        ) * SMOOTHING


def narrow_window(tables: BalancerTables, backend_id: str) -> None:
    """Lower the limit of a window after its server has shed a request."""
    window = window_for(tables, backend_id)
    window.limit = max(window.limit * SHED_WINDOW_FACTOR, 1)


def drop_idle_windows(tables: BalancerTables) -> None:
    """Drop the unused windows of servers that are no longer known."""
    windows = tables.requests.windows_by_backend
    gone = [
        backend_id
        for backend_id, window in windows.items()
        if backend_id not in tables.backends_by_id
        and not window.in_flight
        and not has_waiting(window)
    ]
    for backend_id in gone:
        windows.pop(backend_id)
