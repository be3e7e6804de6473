"""Dispatches messages about requests from other balancers."""

from mustardhold.systems.answers import handle_answer_report
from mustardhold.systems.dispatch import dispatch_queued
from mustardhold.systems.dropped_chains import handle_chain_dropped
from mustardhold.systems.early_messages import release_messages
from mustardhold.systems.hedge_copies import (
    finish_ended_hedges,
    handle_hedge_promise,
)
from mustardhold.systems.hedge_promises import handle_hedge_started
from mustardhold.systems.request_chain import handle_request_chain
from mustardhold.systems.request_handover import (
    handle_history_page,
    handle_history_query,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.request_messages import (
    AnswerReport,
    ChainDropped,
    HedgePromise,
    HedgeStarted,
    RequestChain,
    RequestHistoryPage,
    RequestHistoryQuery,
    RequestMessage,
)


def handle_request_message(
    tables: BalancerTables, now: float, message: RequestMessage, outbox: Outbox
) -> None:
    """Dispatch a message about requests to its handler."""
    match message:
        case RequestChain():
            handle_request_chain(tables, now, message, outbox)
        case ChainDropped():
            handle_chain_dropped(tables, now, message, outbox)
        case AnswerReport():
            handle_answer_report(tables, now, message, outbox)
            finish_ended_hedges(tables, now, outbox)
            dispatch_queued(tables, now, outbox)
        case RequestHistoryQuery():
            handle_history_query(tables, now, message, outbox)
        case RequestHistoryPage():
            handle_history_page(tables, now, message)
        case HedgeStarted():
            handle_hedge_started(tables, now, message, outbox)
        case HedgePromise():
            handle_hedge_promise(tables, now, message, outbox)


def replay_early_messages(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Dispatch the messages held for a newer view or the first lease."""
    for message in list(release_messages(tables, now)):
        handle_request_message(tables, now, message, outbox)
