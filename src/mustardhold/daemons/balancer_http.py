"""HTTP handlers of a balancer."""

import functools
import math
from datetime import timedelta
from http import HTTPStatus

from mustardhold.adapters.http_app import (
    Application,
    Handler,
    HandlerRequest,
    Reply,
    json_reply,
    make_app,
    refuse,
    refuse_all,
)
from mustardhold.adapters.json_body import read_json
from mustardhold.adapters.metrics import render_metrics
from mustardhold.daemons.balancer_state import Balancer
from mustardhold.daemons.error_reporting import report_error
from mustardhold.daemons.sending import send_all
from mustardhold.daemons.table_handlers import TablePublisher, show_changes
from mustardhold.systems.announcement_checks import find_announcement_errors
from mustardhold.systems.announcements import handle_announcement
from mustardhold.systems.explaining import explain
from mustardhold.systems.gauges import balancer_gauges
from mustardhold.systems.observing import all_histograms
from mustardhold.systems.readiness import is_ready
from mustardhold.tables.backends import BackendServer
from mustardhold.tables.constants import FLOW_KEY_BYTES, REQUEST_ID_BYTES
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.outcomes import Err
from mustardhold.tables.status import BalancerStatus

KEY_LENGTHS = (FLOW_KEY_BYTES, REQUEST_ID_BYTES)


async def handle_announce_request(
    balancer: Balancer, request: HandlerRequest
) -> Reply:
    """Validate a backend server's announcement and apply it."""
    parsed = read_json(request.body, BackendServer)
    if isinstance(parsed, Err):
        balancer.tables.counters['', 'announcement-malformed'] += 1
        return refuse_all(parsed.error)
    findings = tuple(find_announcement_errors(parsed.value))
    if findings:
        balancer.tables.counters['', 'announcement-refused'] += 1
        return refuse_all(findings)
    outbox: Outbox = []
    now = balancer.clock.monotonic()
    handle_announcement(balancer.tables, now, parsed.value, outbox)
    send_all(balancer, outbox)
    return json_reply({'status': 'taken'})


def status_of(balancer: Balancer) -> BalancerStatus:
    """Return the balancer's status, as ``/status`` shows it."""
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
        is_ready(tables, balancer.clock.monotonic()),
        tables.is_stopping,
        lease_left(balancer),
    )


def lease_left(balancer: Balancer) -> float | None:
    """Return the seconds left of the lease, or ``None`` if it has no end."""
    left = balancer.tables.lease_until - balancer.clock.monotonic()
    return None if left == math.inf else max(left, 0)


async def show_ready(balancer: Balancer, _: HandlerRequest) -> Reply:
    """Respond to the readiness probe of the fabric.

    Without a lease or a routing table, and while stopping, the balancer must
    get no packets; the response then names the reason.
    """
    tables = balancer.tables
    if is_ready(tables, balancer.clock.monotonic()):
        return json_reply({'status': 'ready'})
    reason = 'no lease' if tables.routing.version else 'no table yet'
    if tables.is_stopping:
        reason = 'stopping'
    return refuse('', reason, HTTPStatus.SERVICE_UNAVAILABLE)


async def show_status(balancer: Balancer, _: HandlerRequest) -> Reply:
    """Respond with the balancer's status."""
    return json_reply(status_of(balancer))


async def show_metrics(balancer: Balancer, _: HandlerRequest) -> Reply:
    """Respond with the balancer's metrics."""
    now = balancer.clock.monotonic()
    return render_metrics(
        balancer.tables.counters,
        all_histograms(balancer.observations),
        balancer_gauges(balancer.tables, balancer.observations, now),
    )


async def show_explanation(
    balancer: Balancer, request: HandlerRequest
) -> Reply:
    """Respond with the state and the recent decisions of a flow or a request.

    The query holds its key in hexadecimal digits.
    """
    key_text = request.query.get('flow') or request.query.get('request') or ''
    try:
        key = bytes.fromhex(key_text)
    except ValueError:
        key = b''
    if len(key) not in KEY_LENGTHS:
        message = 'must be a flow key or a request id in hexadecimal digits'
        return refuse('query', message, HTTPStatus.BAD_REQUEST)
    clock = balancer.clock
    epoch = clock.now() - timedelta(seconds=clock.monotonic())
    return json_reply(
        explain(balancer.tables, balancer.observations, key, epoch)
    )


def make_balancer_app(
    balancer: Balancer, table_publisher: TablePublisher | None = None
) -> Application:
    """Make the HTTP application of a balancer.

    Parameters
    ----------
    table_publisher
        Serves ``/changes`` to other balancers; without it there is none.
    """
    handlers = {
        ('POST', '/announce'): handle_announce_request,
        ('GET', '/status'): show_status,
        ('GET', '/ready'): show_ready,
        ('GET', '/metrics'): show_metrics,
        ('GET', '/explain'): show_explanation,
    }
    bound_handlers: dict[tuple[str, str], Handler] = {
        endpoint: functools.partial(handler, balancer)
        for endpoint, handler in handlers.items()
    }
    if table_publisher is not None:
        bound_handlers['GET', '/changes'] = functools.partial(
            show_changes, table_publisher
        )
    return make_app(
        bound_handlers,
        on_error=functools.partial(
            report_error, balancer.error_reporter, 'http-failed'
        ),
    )
