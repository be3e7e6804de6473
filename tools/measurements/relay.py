"""Measures the share of relayed packets during a drain, leave and loss."""

from tools.fakes.event_queue import run_until
from tools.fakes.fleet import PRODUCT, Fleet, make_fleet
from tools.fakes.servers import make_servers
from tools.fakes.traffic import FlowNumbers, Traffic, start_traffic
from tools.proofs import owner_loss, planned_change
from tools.proofs.faults import BALANCERS, Fault
from tools.registry import Cell, Measurement, Table

SEED = 1
WINDOW_SECONDS = 10
WINDOWS = 9
CHANGE_AT = 40
OPENINGS_PER_SECOND = 50
FLOW_SECONDS = 15
EVENTS: tuple[tuple[str, Fault], ...] = (
    ('a server is drained', planned_change.drain),
    ('a balancer leaves', planned_change.leave),
    ('a balancer is lost', owner_loss.lose_one),
)


def start_fleet() -> Fleet:
    """Start balancers, hosts, and traffic to both services."""
    servers = (*make_servers('werkstatt', 7), *make_servers('katalog', 3))
    fleet = make_fleet(SEED, PRODUCT, BALANCERS, servers)
    numbers = FlowNumbers()
    for service in fleet.address_by_service:
        traffic = Traffic(service, OPENINGS_PER_SECOND, FLOW_SECONDS)
        start_traffic(fleet, traffic, WINDOWS * WINDOW_SECONDS, numbers)
    return fleet


def measure_event(name: str, change: Fault) -> tuple[Cell, ...]:
    """Measure the share of relayed packets in each window."""
    fleet = start_fleet()
    change(fleet, CHANGE_AT)
    cells: list[Cell] = [name]
    for number in range(1, WINDOWS + 1):
        packets, relayed = fleet.packets, fleet.relayed
        run_until(fleet.queue, number * WINDOW_SECONDS)
        share = (fleet.relayed - relayed) / max(fleet.packets - packets, 1)
        cells.append(round(share * 100, 1))
    return tuple(cells)


def run_relay() -> Table:
    """Measure all events."""
    windows = (
        f'{number * WINDOW_SECONDS} s' for number in range(1, WINDOWS + 1)
    )
    setting = (
        f'Seewinkel: 5 balancers, 7 and 3 hosts; {OPENINGS_PER_SECOND} '
        f'openings a second and service; flows of {FLOW_SECONDS} s, an upload '
        f'a second; seed {SEED}; the change at {CHANGE_AT} s.'
    )
    meaning = (
        'Relays for each hundred packets of callers, in the ten seconds up '
        'to the time given; 80 where every packet goes through its owner.'
    )
    return Table(
        ('event', *windows),
        [measure_event(*event) for event in EVENTS],
        (setting, meaning),
    )


MEASUREMENTS = (
    Measurement(
        'relay',
        'share of packets that are relayed, through changes',
        run_relay,
    ),
)
