"""Messages about requests from other balancers."""

from mustardhold.systems.answers import take_seen
from mustardhold.systems.dispatch import pump_windows
from mustardhold.systems.dropped_chains import take_dropped
from mustardhold.systems.early_messages import release_messages
from mustardhold.systems.request_chain import handle_request_chain
from mustardhold.systems.request_handover import (
    handle_history_page,
    take_wanted,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.request_messages import (
    AnswerReport,
    ChainDropped,
    RequestChain,
    RequestHistoryPage,
    RequestHistoryQuery,
    RequestMessage,
)


def handle_request_message(
    tables: BalancerTables, now: float, message: RequestMessage, outbox: Outbox
) -> None:
    """Act on a message about requests."""
    match message:
        case RequestChain():
            handle_request_chain(tables, now, message, outbox)
        case ChainDropped():
            take_dropped(tables, now, message, outbox)
        case AnswerReport():
            take_seen(tables, now, message, outbox)
            pump_windows(tables, now, outbox)
        case RequestHistoryQuery():
            take_wanted(tables, now, message, outbox)
        case RequestHistoryPage():
            handle_history_page(tables, now, message)


def replay_early_messages(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Take the messages again that waited for a newer view or a lease."""
    for message in list(release_messages(tables, now)):
        handle_request_message(tables, now, message, outbox)
