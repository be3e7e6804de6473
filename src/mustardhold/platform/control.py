"""The control program of the platform."""

import functools
from collections.abc import Awaitable, Callable, Mapping
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
from mustardhold.daemons.early_feed import EarlyFeed
from mustardhold.daemons.evacuation_handlers import refuse_order, submit_order
from mustardhold.daemons.registry_control import (
    PublicHandlers,
    ServedAddresses,
    run_registry_control,
)
from mustardhold.daemons.registry_state import (
    RegistryControl,
    make_control,
    share_report,
)
from mustardhold.daemons.replica_node import AnyOutcome
from mustardhold.platform.configurations import (
    READ_PATH,
    find_unknown_kinds,
    validate_document,
)
from mustardhold.platform.reports import read_leave, read_report
from mustardhold.platform.settings import (
    NodeSettings,
    control_addresses,
    metrics_address,
    read_control_options,
    read_data_centres,
    read_growth_policy,
    read_report_interval,
)
from mustardhold.platform.starting import run_program, watch_settings
from mustardhold.systems.directory import final_report
from mustardhold.tables.constants import MAX_CONFIGURATION_BYTES
from mustardhold.tables.evacuations import EvacuationAction, EvacuationOrder
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import Accepted, Finding, Refused

EMPTY_JSON = b'{}'
REPLACE_PATH = '/api/configuration/replace'

ControlHandler = Callable[[RegistryControl, HandlerRequest], Awaitable[Reply]]


async def handle_report(
    control: RegistryControl, request: HandlerRequest
) -> Reply:
    """Merge a backend server's report into the directory.

    A report of a server that leaves is acknowledged only when a majority of
    the control instances has it.
    """
    parsed = read_report(request.name, request.body)
    if isinstance(parsed, Err):
        return refuse_report(control, request.name, parsed.error)
    if await share_report(control, parsed.value):
        return Reply(HTTPStatus.OK, EMPTY_JSON)
    return refuse(
        '', 'not acknowledged by a majority', HTTPStatus.SERVICE_UNAVAILABLE
    )


def refuse_report(
    control: RegistryControl, server_id: str, findings: tuple[Finding, ...]
) -> Reply:
    """Count and log a report that is not valid, and return a 400 response."""
    control.node.replica.counters['report', 'malformed'] += 1
    control.node.log.warning(
        'report refused',
        extra={
            'server': server_id,
            'findings': [str(one) for one in findings],
        },
    )
    return refuse_all(findings)


async def handle_leave(
    control: RegistryControl, request: HandlerRequest
) -> Reply:
    """Merge the final report of a backend server that leaves.

    If the server is unknown, or known with another incarnation, there is
    nothing to merge, and the response is a success.
    """
    parsed = read_leave(request.body)
    if isinstance(parsed, Err):
        return refuse_report(control, request.name, parsed.error)
    known = control.directory.servers_by_id.get(request.name)
    if known is None or parsed.value not in {0, known.report.incarnation}:
        return Reply(HTTPStatus.OK, EMPTY_JSON)
    if await share_report(control, final_report(known.report)):
        return Reply(HTTPStatus.OK, EMPTY_JSON)
    return refuse(
        '', 'not acknowledged by a majority', HTTPStatus.SERVICE_UNAVAILABLE
    )


async def handle_configuration(
    control: RegistryControl, request: HandlerRequest
) -> Reply:
    """Validate an operator's configuration and commit it."""
    parsed = validate_document(request.body)
    if isinstance(parsed, Err):
        control.node.log.warning(
            'configuration refused',
            extra={'findings': [str(one) for one in parsed.error]},
        )
        return refuse_all(parsed.error)
    unknown_kinds = find_unknown_kinds(parsed.value)
    if unknown_kinds:
        control.node.log.warning(
            'configuration has unknown kinds',
            extra={'findings': [str(one) for one in unknown_kinds]},
        )
    outcome = await replace_configuration(control.node, parsed.value)
    control.node.log.info(
        'configuration answered',
        extra={
            'version': parsed.value.version,
            'outcome': type(outcome).__name__,
        },
    )
    if isinstance(outcome, Accepted):
        return Reply(HTTPStatus.OK, EMPTY_JSON)
    return refuse('', 'no majority', HTTPStatus.SERVICE_UNAVAILABLE)


async def show_configuration(
    control: RegistryControl, _: HandlerRequest
) -> Reply:
    """Reply with the latest committed configuration, as it was sent."""
    document = await read_configuration(control.node)
    if document is None or not document.version:
        return refuse('', 'not certain', HTTPStatus.SERVICE_UNAVAILABLE)
    unpacked = unpack_document(document)
    if isinstance(unpacked, Err):
        return refuse('', unpacked.error, HTTPStatus.SERVICE_UNAVAILABLE)
    return Reply(HTTPStatus.OK, unpacked.value, JSON_TYPE)


async def handle_evacuation(
    action: EvacuationAction, control: RegistryControl, request: HandlerRequest
) -> Reply:
    """Begin or end the evacuation of a data centre."""
    if request.body:
        order = EvacuationOrder(
            request.name, action, control.node.options.instance_id
        )
        findings = (Finding('body', 'must be empty'),)
        outcome: AnyOutcome = refuse_order(control.node, order, findings)
    else:
        outcome = await submit_order(control.node, request.name, action)
    if isinstance(outcome, Accepted):
        return Reply(HTTPStatus.OK, EMPTY_JSON)
    if isinstance(outcome, Refused):
        return refuse_all(outcome.findings)
    return refuse('', 'no majority', HTTPStatus.SERVICE_UNAVAILABLE)


def make_handlers(control: RegistryControl) -> PublicHandlers:
    """Return the HTTP handlers that backend servers and operators call."""
    handlers: Mapping[tuple[str, str], ControlHandler] = {
        ('POST', '/api/instances/*/heartbeat'): handle_report,
        ('POST', '/api/instances/*/leave'): handle_leave,
        ('POST', REPLACE_PATH): handle_configuration,
        ('GET', READ_PATH): show_configuration,
        ('POST', '/api/evacuation/*/start'): functools.partial(
            handle_evacuation, EvacuationAction.EVACUATE
        ),
        ('POST', '/api/evacuation/*/end'): functools.partial(
            handle_evacuation, EvacuationAction.RESTORE
        ),
    }
    return PublicHandlers(
        {
            path: functools.partial(handler, control)
            for path, handler in handlers.items()
        },
        {REPLACE_PATH: MAX_CONFIGURATION_BYTES},
    )


def apply_settings(control: RegistryControl, settings: NodeSettings) -> None:
    """Apply settings that have changed."""
    control.node.data_centres = read_data_centres(settings)
    add_control_addresses(
        control.node, control.feed_client, control_addresses(settings)
    )


async def run_control(
    early_feed: EarlyFeed | None, settings: NodeSettings, log: Logger
) -> None:
    """Run a control instance with the platform's settings."""
    control = make_control(
        read_control_options(settings),
        read_growth_policy(settings),
        read_report_interval(settings),
        SystemClock(),
        log,
    )
    control.node.data_centres = read_data_centres(settings)
    await run_registry_control(
        control,
        make_handlers(control),
        ServedAddresses(
            settings.bind_addresses.control_plane, metrics_address(settings)
        ),
        functools.partial(
            watch_settings,
            settings,
            log,
            functools.partial(apply_settings, control),
        ),
        early_feed,
    )


def run(early_feed: EarlyFeed | None = None) -> int:
    """Run the program until it is stopped; return its exit code."""
    return run_program('control', functools.partial(run_control, early_feed))
