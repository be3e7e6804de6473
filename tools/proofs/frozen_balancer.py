"""A balancer that was frozen acts on nothing that it knew before."""

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
    at,
    choose_living,
    find_broken,
    kill_some,
    run_scenario,
)
from tools.proofs.planned_change import drain
from tools.registry import Proof, Violation

FROZEN_SECONDS = 30
FREEZE_AT = 6.0
END = 45


@dataclass(slots=True)
class Watch:
    """Packets that left a balancer at the moment it thawed."""

    frozen: str = ''
    thawed_at: float = -1
    packets: int = 0


def watch_logic(logic: Logic, watch: Watch) -> Logic:
    """Count what a thawed balancer decides on with its old knowledge."""

    def note(tables: BalancerTables, now: float, outbox: Outbox) -> None:
        if tables.instance_id == watch.frozen and now == watch.thawed_at:
            watch.packets += sum(not isinstance(one, ToPeer) for one in outbox)

    def handle_caller_packet(
        tables: BalancerTables,
        now: float,
        packet: CallerPacket,
        outbox: Outbox,
    ) -> None:
        logic.handle_caller_packet(tables, now, packet, outbox)
        note(tables, now, outbox)

    def handle_peer_message(
        tables: BalancerTables,
        now: float,
        message: PeerMessage,
        outbox: Outbox,
    ) -> None:
        logic.handle_peer_message(tables, now, message, outbox)
        note(tables, now, outbox)

    def tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
        logic.tick(tables, now, outbox)
        note(tables, now, outbox)

    return Logic(
        handle_caller_packet,
        logic.handle_backend_packet,
        handle_peer_message,
        tick,
    )


def run_frozen(seed: int, *, naive: bool) -> list[Violation]:
    """Freeze a balancer for 30 s, alone or with another fault."""
    watch = Watch()

    def freeze(fleet: Fleet, start: float) -> None:
        def stop() -> None:
            watch.frozen = choose_living(fleet, 1)[0]
            fakes.freeze(fleet, watch.frozen)

        def go_on() -> None:
            watch.thawed_at = fleet.queue.now
            if watch.frozen in fleet.balancers_by_id:
                fakes.thaw(fleet, watch.frozen)

        at(fleet, start, stop)
        at(fleet, start + FROZEN_SECONDS, go_on)

    def kill_later(fleet: Fleet, start: float) -> None:
        at(fleet, start + FROZEN_SECONDS - 1, lambda: kill_some(fleet, 1))

    besides = ((), (drain,), (kill_later,))[seed % 3]
    scene = Scenario((freeze, *besides), FREEZE_AT, END, 8, 15)
    logic = LOCAL_FLOW_TABLE if naive else PRODUCT
    fleet = run_scenario(seed, watch_logic(logic, watch), scene)
    violations = find_broken(fleet, 'a session survives a frozen balancer')
    if watch.packets:
        violations.append(
            Violation(
                'a thawed balancer sends nothing on what it knew',
                f'{watch.packets} packets at {watch.thawed_at} s',
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
