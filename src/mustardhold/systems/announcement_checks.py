"""Validates announcements of backend servers."""

import math
from collections.abc import Iterator

from mustardhold.systems.value_formats import (
    find_address_error,
    find_name_error,
)
from mustardhold.tables.backends import BackendServer
from mustardhold.tables.routing import Finding

MAX_COUNT = 2**53


def find_announcement_errors(announced: BackendServer) -> Iterator[Finding]:
    """Yield a finding for each invalid value of an announcement."""
    for key in ('backend_id', 'pool', 'data_centre'):
        error = find_name_error(getattr(announced, key))
        if error:
            yield Finding(key, error)
    error = find_address_error(announced.address)
    if error:
        yield Finding('address', error)
    if announced.slots < 1:
        yield Finding('slots', 'must be at least 1')
    for key in (
        'slots',
        'connection_limit',
        'connections',
        'incarnation',
        'sequence',
    ):
        if not 0 <= getattr(announced, key) <= MAX_COUNT:
            yield Finding(key, f'must be from 0 to {MAX_COUNT}')
    if not math.isfinite(announced.load) or announced.load < 0:
        yield Finding('load', 'must be a number from 0')
