"""Graceful stop of a balancer on a signal."""

import trio

from mustardhold.daemons.balancer_state import Balancer
from mustardhold.daemons.signals import stop_on_signal
from mustardhold.systems.readiness import is_shutdown_complete
from mustardhold.tables.constants import HTTP_GRACE, LEASE_LIFETIME, TICK


async def stop_gracefully(balancer: Balancer) -> None:
    """Leave the group at a signal, and let work in progress finish.

    The balancer still handles packets meanwhile: the fabric sends some until
    it has noticed that ``/ready`` fails.
    """
    signal_received = trio.Event()
    await stop_on_signal(signal_received)
    options, tables = balancer.options, balancer.tables
    balancer.log.info('balancer stopping')
    tables.is_stopping = True
    bound = options.stop_bound - HTTP_GRACE
    with trio.move_on_after(bound.total_seconds()) as scope:
        await trio.sleep(options.withdrawal.total_seconds())
        while not is_shutdown_complete(tables):
            await trio.sleep(TICK.total_seconds())
        # Members may act on the previous view until their leases expire.
        await trio.sleep(LEASE_LIFETIME.total_seconds())
    if scope.cancelled_caught:
        tables.counters['', 'stop-bound-reached'] += 1
        balancer.log.warning('stop_bound reached with work in progress')
    balancer.stopped.set()
