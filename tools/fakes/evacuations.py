"""Orders to evacuate data centres, sent to a simulated group of replicas."""

from dataclasses import dataclass, field

from mustardhold.systems.evacuation_orders import is_evacuated
from mustardhold.systems.evacuation_proposals import propose_evacuation
from mustardhold.tables.consensus import Replica
from mustardhold.tables.evacuations import (
    NO_EVACUATIONS,
    EvacuationAction,
    EvacuationOrder,
    EvacuationState,
)
from mustardhold.tables.routing import Accepted
from tools.fakes.event_queue import schedule_every
from tools.fakes.replicas import (
    AnyOutcome,
    Group,
    live_replicas,
    run_on_node,
    submit_command,
)

OBSERVE_SECONDS = 0.05


@dataclass(slots=True)
class OrderLog:
    """Orders sent to a group, and the states that its replicas had.

    Attributes
    ----------
    outcomes
        Each order that was answered, with its outcome.
    states_by_revision
        First state that any replica had at each revision.
    ambiguous_revisions
        Revisions at which replicas had different states.
    is_closed
        Whether no more orders are sent.
    """

    group: Group
    outcomes: list[tuple[EvacuationOrder, AnyOutcome]] = field(
        default_factory=list
    )
    states_by_revision: dict[int, EvacuationState] = field(
        default_factory=lambda: {0: NO_EVACUATIONS}
    )
    ambiguous_revisions: set[int] = field(default_factory=set)
    is_closed: bool = False


def start_order_log(group: Group) -> OrderLog:
    """Start to observe the states of a group."""
    log = OrderLog(group)
    schedule_every(group.queue, OBSERVE_SECONDS, lambda: observe(log))
    return log


def observe(log: OrderLog) -> None:
    """Record the state of each replica."""
    for replica in live_replicas(log.group):
        record_state(log, replica)


def record_state(log: OrderLog, replica: Replica) -> None:
    """Record a state, and its revision if another state had it before."""
    state = replica.evacuations
    first = log.states_by_revision.setdefault(state.revision, state)
    if first != state:
        log.ambiguous_revisions.add(state.revision)


def send_order(
    log: OrderLog, name: str, data_centre: str, action: EvacuationAction
) -> None:
    """Send an order to a process, which forwards it to the leader."""
    group = log.group
    order = EvacuationOrder(data_centre, action, name, group.queue.now)

    def record_outcome(outcome: AnyOutcome) -> None:
        observe(log)
        log.outcomes.append((order, outcome))

    run_on_node(
        group,
        name,
        lambda: submit_command(
            group,
            name,
            lambda replica, now: propose_evacuation(replica, now, order),
            record_outcome,
        ),
    )


def acknowledged_revision(log: OrderLog) -> int:
    """Return the highest acknowledged revision; 0 if there is none."""
    return max(
        (
            outcome.version
            for _, outcome in log.outcomes
            if isinstance(outcome, Accepted)
        ),
        default=0,
    )


def find_ignored_orders(log: OrderLog) -> list[EvacuationOrder]:
    """Return acknowledged orders that their revision does not contain."""
    return [
        order
        for order, outcome in log.outcomes
        if isinstance(outcome, Accepted)
        and outcome.version in log.states_by_revision
        and is_evacuated(
            log.states_by_revision[outcome.version], order.data_centre
        )
        is not (order.action is EvacuationAction.EVACUATE)
    ]
