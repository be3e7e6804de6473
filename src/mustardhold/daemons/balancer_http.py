"""HTTP handlers of a balancer."""

import functools

import msgspec

from mustardhold.adapters.http_app import (
    Application,
    Ask,
    Reply,
    json_reply,
    make_app,
)
from mustardhold.adapters.metrics import render_counters
from mustardhold.daemons.balancer_state import Balancer
from mustardhold.daemons.sending import send_all
from mustardhold.systems.announcements import take_announced
from mustardhold.tables.backends import BackendServer
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.status import BalancerStatus


async def take_announce(balancer: Balancer, ask: Ask) -> Reply:
    """Handle a backend server's announcement."""
    announced = msgspec.json.decode(ask.body, type=BackendServer)
    outbox: Outbox = []
    now = balancer.clock.monotonic()
    take_announced(balancer.tables, now, announced, outbox)
    send_all(balancer, outbox)
    return json_reply({'status': 'taken'})


def status_of(balancer: Balancer) -> BalancerStatus:
    """Describe a balancer."""
    tables = balancer.tables
    return BalancerStatus(
        tables.instance_id,
        tables.data_centre,
        tables.routing.version,
        tables.view.epoch,
        tuple(tables.view.members_by_id),
        len(tables.flows_by_key),
        tuple(known.announced for known in tables.backends_by_id.values()),
        {'/'.join(key): count for key, count in tables.counters.items()},
    )


async def show_status(balancer: Balancer, _: Ask) -> Reply:
    """Handle a question for the balancer's status."""
    return json_reply(status_of(balancer))


async def show_metrics(balancer: Balancer, _: Ask) -> Reply:
    """Handle a scrape of the metrics."""
    return render_counters(balancer.tables.counters)


def make_balancer_app(balancer: Balancer) -> Application:
    """Make the application that a balancer serves."""
    handlers = {
        ('POST', '/announce'): take_announce,
        ('GET', '/status'): show_status,
        ('GET', '/metrics'): show_metrics,
    }
    return make_app(
        {
            page: functools.partial(handler, balancer)
            for page, handler in handlers.items()
        }
    )
