"""Log lines about decisions on packets."""

import logging
import math
from typing import Any

import msgspec

from mustardhold.adapters.logs import is_line_allowed
from mustardhold.systems.addresses import format_address
from mustardhold.systems.load_choice import describe_loads
from mustardhold.systems.opening_admission import describe_refusal
from mustardhold.systems.token_forwarding import configuration_version
from mustardhold.tables.forwarding import (
    CallerPacket,
    Decision,
    Drop,
    DropCause,
    Forward,
    ForwardingTables,
    Hold,
    Reset,
)

MILLISECONDS = 1000
MESSAGES_BY_TYPE: dict[type[Decision], str] = {
    Forward: 'opening passed on',
    Hold: 'packet held',
    Reset: 'flow reset',
    Drop: 'packet dropped',
}


def log_decision(
    log: logging.Logger,
    tables: ForwardingTables,
    now: float,
    packet: CallerPacket,
    decision: Decision,
) -> None:
    """Log where an opening was forwarded, or why a packet was not forwarded."""
    if isinstance(decision, Forward) and not packet.is_opening:
        return
    message = MESSAGES_BY_TYPE[type(decision)]
    if not is_line_allowed(log, message):
        return
    extra = decision_context(tables, now, packet)
    match decision:
        case Forward(servers):
            extra['servers'] = [known.report.server_id for known in servers]
            extra.update(describe_loads(tables, decision))
        case Hold():
            extra['token'] = packet.token
        case Reset(cause) | Drop(cause):
            extra.update(token=packet.token, cause=cause)
            if cause is DropCause.OVERLOADED:
                extra.update(describe_refusal(tables, packet))
    log.info(message, extra=extra)


def decision_context(
    tables: ForwardingTables, now: float, packet: CallerPacket
) -> dict[str, Any]:
    """Return the flow and the state on which the decision was based."""
    caller = format_address(packet.caller)
    age = now - tables.last_feed_at
    return {
        'flow': f'{caller}>{format_address(packet.service_address)}',
        'version': configuration_version(tables),
        'fed_ms_ago': round(age * MILLISECONDS) if math.isfinite(age) else None,
        'attempt': packet.attempt,
    }


def log_avoided_servers(log: logging.Logger, tables: ForwardingTables) -> None:
    """Log the servers that the balancer has just begun to avoid."""
    for token in tables.newly_avoided:
        known = tables.directory.servers_by_token.get(token)
        log.info(
            'server avoided',
            extra={
                'server': known.report.server_id if known else '',
                'unanswered': tables.responsiveness_by_token[token].unanswered,
            },
        )
    tables.newly_avoided.clear()


def log_level_changes(log: logging.Logger, tables: ForwardingTables) -> None:
    """Log the admission levels that begin to fall or are back at 1."""
    control = tables.overload
    if control is None or not control.changes:
        return
    for change in control.changes:
        is_limited = change.level < 1
        log.info(
            'admission limited' if is_limited else 'admission unlimited',
            extra={
                'service': change.service,
                'level': round(change.level, 3),
                'openings_per_second': round(change.demand, 1),
                **msgspec.structs.asdict(change.answers),
            },
        )
    control.changes.clear()
