"""Gauges of a balancer for its metrics."""

import math
from collections import Counter
from collections.abc import Iterator

from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.gauges import Gauge
from mustardhold.tables.observations import Observations


def balancer_gauges(
    tables: BalancerTables, observations: Observations, now: float
) -> Iterator[Gauge]:
    """Yield the gauges of a balancer with their current values."""
    yield Gauge('flows', 'Flow records held', len(tables.flows_by_key))
    yield Gauge(
        'requests_in_flight',
        'Requests sent from here whose answer was not seen here',
        len(observations.request_timers_by_id),
    )
    yield Gauge('table_version', 'Table in force', tables.routing.version)
    yield Gauge('view_epoch', 'View in force', tables.view.epoch)
    yield Gauge(
        'members', 'Members of the view', len(tables.view.members_by_id)
    )
    yield Gauge('stopping', 'Whether it is stopping', int(tables.is_stopping))
    if not math.isinf(tables.lease_until):
        left = max(tables.lease_until - now, 0)
        yield Gauge('lease_left_seconds', 'Lease as an owner', left)
    by_state = Counter(
        (server.announced.pool, str(server.announced.state))
        for server in tables.backends_by_id.values()
    )
    for (pool, state), count in sorted(by_state.items()):
        labels = {'service': pool, 'state': state}
        yield Gauge('backends', 'Backend servers known', count, labels)
