"""A control instance on the platform."""

import functools
from http import HTTPStatus
from logging import Logger

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.documents import unpack_document
from mustardhold.adapters.http_app import (
    JSON_TYPE,
    HandlerRequest,
    Reply,
    refuse,
    refuse_all,
)
from mustardhold.daemons.configuration_handlers import (
    read_configuration,
    replace_configuration,
)
from mustardhold.daemons.control_addresses import add_control_addresses
from mustardhold.daemons.registry_control import (
    PublicHandlers,
    RegistryControl,
    ServedAddresses,
    make_control,
    run_registry_control,
    share_report,
)
from mustardhold.platform.configurations import read_body
from mustardhold.platform.reports import read_leave, read_report
from mustardhold.platform.settings import (
    NodeSettings,
    metrics_address,
    read_control_options,
    read_growth,
)
from mustardhold.platform.starting import follow_settings, run_program
from mustardhold.systems.directory import final_report
from mustardhold.tables.constants import MAX_CONFIGURATION_BYTES
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import Accepted

EMPTY = b'{}'
REPLACE_PAGE = '/api/configuration/replace'


async def take_report(control: RegistryControl, ask: HandlerRequest) -> Reply:
    """Handle a backend server's report."""
    read = read_report(ask.name, ask.body)
    if isinstance(read, Err):
        control.node.replica.counters['report', 'malformed'] += 1
        return refuse_all(read.error)
    if await share_report(control, read.value):
        return Reply(HTTPStatus.OK, EMPTY)
    return refuse('', 'not shared yet', HTTPStatus.SERVICE_UNAVAILABLE)


async def take_leave(control: RegistryControl, ask: HandlerRequest) -> Reply:
    """Handle a backend server's last report."""
    read = read_leave(ask.body)
    if isinstance(read, Err):
        return refuse_all(read.error)
    known = control.directory.servers_by_id.get(ask.name)
    if known is None or read.value not in {0, known.report.incarnation}:
        return Reply(HTTPStatus.OK, EMPTY)
    if await share_report(control, final_report(known.report)):
        return Reply(HTTPStatus.OK, EMPTY)
    return refuse('', 'not shared yet', HTTPStatus.SERVICE_UNAVAILABLE)


async def take_configuration(
    control: RegistryControl, ask: HandlerRequest
) -> Reply:
    """Handle an operator's configuration."""
    read = read_body(ask.body)
    if isinstance(read, Err):
        control.node.log.warning(
            'configuration refused',
            extra={'findings': [str(one) for one in read.error]},
        )
        return refuse_all(read.error)
    outcome = await replace_configuration(control.node, read.value)
    control.node.log.info(
        'configuration answered',
        extra={
            'version': read.value.version,
            'outcome': type(outcome).__name__,
        },
    )
    if isinstance(outcome, Accepted):
        return Reply(HTTPStatus.OK, EMPTY)
    return refuse('', 'no majority', HTTPStatus.SERVICE_UNAVAILABLE)


async def show_configuration(
    control: RegistryControl, _: HandlerRequest
) -> Reply:
    """Handle an operator's wish to read the configuration."""
    held = await read_configuration(control.node)
    if held is None or not held.version:
        return refuse('', 'not certain', HTTPStatus.SERVICE_UNAVAILABLE)
    return Reply(HTTPStatus.OK, unpack_document(held), JSON_TYPE)


def make_pages(control: RegistryControl) -> PublicHandlers:
    """Make the pages that backend servers and operators call."""
    handlers = {
        ('POST', '/api/instances/*/heartbeat'): take_report,
        ('POST', '/api/instances/*/leave'): take_leave,
        ('POST', REPLACE_PAGE): take_configuration,
        ('GET', '/api/configuration/get'): show_configuration,
    }
    return PublicHandlers(
        {
            page: functools.partial(handler, control)
            for page, handler in handlers.items()
        },
        {REPLACE_PAGE: MAX_CONFIGURATION_BYTES},
    )


async def run_control(settings: NodeSettings, log: Logger) -> None:
    """Run a control instance."""
    control = make_control(
        read_control_options(settings),
        read_growth(settings),
        SystemClock(),
        log,
    )
    await run_registry_control(
        control,
        make_pages(control),
        ServedAddresses(
            settings.bind_addresses.control_plane, metrics_address(settings)
        ),
        functools.partial(
            follow_settings,
            settings,
            log,
            functools.partial(
                add_control_addresses, control.node, control.feed_client
            ),
        ),
    )


def run() -> int:
    """Run the program until it is stopped; return its exit code."""
    return run_program('control', run_control)
