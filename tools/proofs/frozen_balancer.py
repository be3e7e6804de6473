"""A thawed balancer sends nothing based on stale tables."""

from dataclasses import dataclass

from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.packets import CallerPacket
from mustardhold.tables.peers import PeerMessage
from tools.fakes import fleet as fakes
from tools.fakes.fleet import PRODUCT, Fleet, Logic
from tools.fakes.naive import LOCAL_FLOW_TABLE
from tools.proofs.faults import (
    Scenario,
    choose_running,
    find_broken_flows,
    kill_some,
    run_scenario,
    schedule_at,
)
from tools.proofs.planned_change import drain
from tools.registry import Proof, Violation

FROZEN_SECONDS = 30
FREEZE_AT = 6.0
END = 45


@dataclass(slots=True)
class ThawMonitor:
    """The frozen balancer, and the packets that it sends when it is thawed."""

    frozen_balancer: str = ''
    thawed_at: float = -1
    packets: int = 0


def monitor_logic(logic: Logic, monitor: ThawMonitor) -> Logic:
    """Wrap handlers to count the packets sent at the time of the thaw.

    Messages to peers are not counted.
    """

    def count_packets(
        tables: BalancerTables, now: float, outbox: Outbox
    ) -> None:
        if (
            tables.instance_id == monitor.frozen_balancer
            and now == monitor.thawed_at
        ):
            monitor.packets += sum(
                not isinstance(outgoing, ToPeer) for outgoing in outbox
            )

    def handle_caller_packet(
        tables: BalancerTables,
        now: float,
        packet: CallerPacket,
        outbox: Outbox,
    ) -> None:
        logic.handle_caller_packet(tables, now, packet, outbox)
        count_packets(tables, now, outbox)

    def handle_peer_message(
        tables: BalancerTables,
        now: float,
        message: PeerMessage,
        outbox: Outbox,
    ) -> None:
        logic.handle_peer_message(tables, now, message, outbox)
        count_packets(tables, now, outbox)

    def tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
        logic.tick(tables, now, outbox)
        count_packets(tables, now, outbox)

    return Logic(
        handle_caller_packet,
        logic.handle_backend_packet,
        handle_peer_message,
        tick,
    )


def run_frozen(seed: int, *, naive: bool) -> list[Violation]:
    """Freeze a balancer for 30 s, alone or with another fault."""
    monitor = ThawMonitor()

    def freeze(fleet: Fleet, start: float) -> None:
        def freeze_one() -> None:
            monitor.frozen_balancer = choose_running(fleet, 1)[0]
            fakes.freeze(fleet, monitor.frozen_balancer)

        def resume() -> None:
            monitor.thawed_at = fleet.queue.now
            if monitor.frozen_balancer in fleet.balancers_by_id:
                fakes.thaw(fleet, monitor.frozen_balancer)

        schedule_at(fleet, start, freeze_one)
        schedule_at(fleet, start + FROZEN_SECONDS, resume)

    def kill_later(fleet: Fleet, start: float) -> None:
        schedule_at(
            fleet, start + FROZEN_SECONDS - 1, lambda: kill_some(fleet, 1)
        )

    other_faults = ((), (drain,), (kill_later,))[seed % 3]
    scenario = Scenario((freeze, *other_faults), FREEZE_AT, END, 8, 15)
    logic = LOCAL_FLOW_TABLE if naive else PRODUCT
    fleet = run_scenario(seed, monitor_logic(logic, monitor), scenario)
    violations = find_broken_flows(
        fleet, 'a session survives a frozen balancer'
    )
    if monitor.packets:
        violations.append(
            Violation(
                'a thawed balancer sends nothing on what it knew',
                f'{monitor.packets} packets at {monitor.thawed_at} s',
            )
        )
    return violations


PROOFS = (
    Proof(
        'frozen-balancer',
        'a balancer thawed after 30 s sends nothing on what it knew',
        run_frozen,
        ci_seeds=4,
    ),
)
