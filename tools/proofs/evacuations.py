"""Orders to evacuate data centres survive the loss of control instances.

Orders for the same data centres race at all instances, while instances are
killed, frozen and cut off. At the end all are killed together, right after an
acknowledgement.
"""

from mustardhold.systems.evacuation_proposals import read_evacuations
from mustardhold.tables.consensus import NotLeader
from mustardhold.tables.evacuations import EvacuationAction
from tools.fakes.evacuations import (
    OrderLog,
    acknowledged_revision,
    find_ignored_orders,
    send_order,
    start_order_log,
)
from tools.fakes.event_queue import run_until, schedule_every
from tools.fakes.replicas import (
    kill,
    leader_name,
    make_group,
    restart_later,
)
from tools.proofs.configurations import freeze_one, kill_one, partition_one
from tools.registry import Proof, Violation

NAMES = ('c1', 'c2', 'c3', 'c4', 'c5')
DATA_CENTRES = ('berlin-1', 'essen-1')
FORMATION_SECONDS = 8.0
ORDER_SECONDS = 0.2
FAULT_SECONDS = 4.0
FAULT_ROUNDS = 5
STEP_SECONDS = 0.01
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 8.0
PROMISE = 'an acknowledged evacuation order holds on every control instance'


def send_random_order(log: OrderLog) -> None:
    """Send an order for a random data centre to a random process."""
    if log.is_closed:
        return
    rng = log.group.queue.rng
    send_order(
        log,
        rng.choice(NAMES),
        rng.choice(DATA_CENTRES),
        rng.choice(tuple(EvacuationAction)),
    )


def check_leader(log: OrderLog) -> list[Violation]:
    """Check that the leader reads nothing older than what was acknowledged."""
    name = leader_name(log.group)
    replica = log.group.nodes_by_name[name].replica if name else None
    if replica is None:
        return [Violation(PROMISE, 'no leader after the recovery')]
    state = read_evacuations(replica, log.group.queue.now)
    if isinstance(state, NotLeader):
        return [Violation(PROMISE, 'the leader is not confirmed')]
    acknowledged = acknowledged_revision(log)
    if state.revision >= acknowledged:
        return []
    description = f'revision {state.revision} after {acknowledged}'
    return [Violation(PROMISE, f'the leader reads {description}')]


def lose_power(log: OrderLog) -> None:
    """Kill all processes right after the next acknowledgement."""
    group, acknowledged = log.group, acknowledged_revision(log)
    deadline = group.queue.now + FAULT_SECONDS
    while acknowledged_revision(log) == acknowledged:
        run_until(group.queue, group.queue.now + STEP_SECONDS)
        if group.queue.now > deadline:
            break
    log.is_closed = True
    for name in NAMES:
        kill(group, name)
        restart_later(group, name, DOWN_SECONDS)


def run_evacuations(seed: int, *, naive: bool) -> list[Violation]:
    """Send orders under faults; the naive version never syncs its disk."""
    group = make_group(seed, NAMES, syncing=not naive)
    queue = group.queue
    log = start_order_log(group)
    run_until(queue, FORMATION_SECONDS)
    schedule_every(queue, ORDER_SECONDS, lambda: send_random_order(log))
    for _ in range(FAULT_ROUNDS):
        fault = queue.rng.choice((kill_one, freeze_one, partition_one))
        fault(group, queue.rng.choice(NAMES))
        run_until(queue, queue.now + FAULT_SECONDS)
    lose_power(log)
    run_until(queue, queue.now + RECOVERY_SECONDS)
    findings = [
        *(
            f'revision {one} is ambiguous'
            for one in sorted(log.ambiguous_revisions)
        ),
        *(f'{order} has no effect' for order in find_ignored_orders(log)),
        *group.contradictions,
    ]
    violations = [Violation(PROMISE, finding) for finding in findings]
    return [*violations, *check_leader(log)]


PROOFS = (
    Proof(
        'evacuation',
        f'{PROMISE}, in the order of the log',
        run_evacuations,
    ),
)
