"""Admission: bounded requests in flight and waiting, for each server."""

import math

from mustardhold.systems.request_records import request_key, tell_at
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


def largest_window(tables: BalancerTables, backend_id: str) -> int:
    """Count the requests in flight that one owner may have at a server.

    The owners of the group share what the server takes.
    """
    known = tables.backends_by_id.get(backend_id)
    slots = known.announced.slots if known else 1
    members = max(len(tables.view.members_by_id), 1)
    return max(math.ceil(slots * IN_FLIGHT_PER_SLOT / members), 1)


def window_for(tables: BalancerTables, backend_id: str) -> ConcurrencyWindow:
    """Find or make the window of a server."""
    windows = tables.requests.windows_by_backend
    window = windows.get(backend_id)
    if window is None:
        window = ConcurrencyWindow(largest_window(tables, backend_id))
        windows[backend_id] = window
    return window


def has_free_place(window: ConcurrencyWindow) -> bool:
    """Tell whether another request may be in flight."""
    return window.in_flight < max(int(window.limit), 1)


def take_place(window: ConcurrencyWindow, record: RequestRecord) -> None:
    """Count a request as in flight."""
    window.in_flight += 1
    record.holds_slot = True


def has_waiting(window: ConcurrencyWindow) -> bool:
    """Tell whether requests wait for a place."""
    return bool(window.non_idempotent_keys or window.idempotent_keys)


def enqueue(tables: BalancerTables, key: bytes, record: RequestRecord) -> bool:
    """Let a request wait, unless the queue of its service or server is full.

    Returns
    -------
    bool
        Whether there was room.
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
    """Tell whether as many wait for a server as may be in flight there.

    Idempotent requests take no room from the others.
    """
    waiting = len(window.non_idempotent_keys)
    if record.idempotent:
        waiting += len(window.idempotent_keys)
    return waiting >= max(window.limit, 1) * QUEUED_PER_SLOT


def has_time_left(
    window: ConcurrencyWindow, record: RequestRecord, now: float
) -> bool:
    """Tell whether an answer can be expected by the time to tell."""
    return now + window.response_seconds < tell_at(record)


def next_waiting(window: ConcurrencyWindow) -> bytes | None:
    """Find the next key that waits: non-idempotent requests first."""
    queue = window.non_idempotent_keys or window.idempotent_keys
    return queue[0] if queue else None


def leave_queue(tables: BalancerTables, record: RequestRecord) -> None:
    """Take a request that waits out of its queue."""
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
    """End a request, and free its place for the next."""
    leave_queue(tables, record)
    record.state = RequestState.ENDED
    record.packet = None
    release_place(tables, record)


def release_place(tables: BalancerTables, record: RequestRecord) -> None:
    """Free the place of a request that is in flight no longer."""
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
    """Allow a little more after an answer, up to the owner's share.

    The time that the answer took is noted where it is known.
    """
    window = window_for(tables, record.backend_id)
    largest = largest_window(tables, record.backend_id)
    window.limit = min(window.limit + 1 / window.limit, largest)
    if now is not None and record.forwards == 1:
        seconds = now - record.sent_at
        window.response_seconds += (
            seconds - window.response_seconds
        ) * SMOOTHING


def narrow_window(tables: BalancerTables, backend_id: str) -> None:
    """Allow much less at once after a server has shed a request."""
    window = window_for(tables, backend_id)
    window.limit = max(window.limit * SHED_WINDOW_FACTOR, 1)


def drop_idle_windows(tables: BalancerTables) -> None:
    """Forget the windows of servers that are gone."""
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
