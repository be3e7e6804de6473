"""Log lines about decisions on packets."""

import logging
import math
from typing import Any

from mustardhold.systems.addresses import address_text
from mustardhold.systems.token_forwarding import version_of
from mustardhold.tables.forwarding import (
    CallerPacket,
    Decision,
    Forward,
    ForwardingTables,
    Hold,
    Reset,
)

MILLISECONDS = 1000


def log_decision(
    log: logging.Logger,
    tables: ForwardingTables,
    now: float,
    packet: CallerPacket,
    decision: Decision,
) -> None:
    """Log where an opening went, or why a packet went nowhere."""
    if isinstance(decision, Forward):
        if not packet.is_opening:
            return
        message = 'opening passed on'
        outcome: dict[str, Any] = {
            'servers': [known.report.server_id for known in decision.servers]
        }
    elif isinstance(decision, Hold):
        message, outcome = 'packet held', {'token': packet.token}
    else:
        is_reset = isinstance(decision, Reset)
        message = 'flow reset' if is_reset else 'packet dropped'
        outcome = {'token': packet.token, 'cause': decision.cause}
    log.info(message, extra={**beliefs(tables, now, packet), **outcome})


def beliefs(
    tables: ForwardingTables, now: float, packet: CallerPacket
) -> dict[str, Any]:
    """Name a flow, and what the balancer decides by."""
    caller = address_text(packet.caller)
    age = now - tables.fed_at
    return {
        'flow': f'{caller}>{address_text(packet.service_address)}',
        'version': version_of(tables),
        'fed_ms_ago': round(age * MILLISECONDS) if math.isfinite(age) else None,
        'attempt': packet.attempt,
    }


def log_avoided(log: logging.Logger, tables: ForwardingTables) -> None:
    """Log the servers that have just come to be avoided."""
    for token in tables.avoided:
        known = tables.directory.servers_by_token.get(token)
        log.info(
            'server avoided',
            extra={
                'server': known.report.server_id if known else '',
                'unanswered': tables.answering_by_token[token].unanswered,
            },
        )
    tables.avoided.clear()
