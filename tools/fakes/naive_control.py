"""Control replicas without a quorum: the last write wins."""

import functools
from dataclasses import dataclass, field

from mustardhold.systems.edits import changed_table
from mustardhold.tables.routing import (
    Accepted,
    Edit,
    RoutingTable,
    empty_table,
)
from tools.fakes.event_queue import make_queue, schedule_every
from tools.fakes.network import Network, send
from tools.fakes.operators import ControlService
from tools.fakes.replicas import Reply

GOSSIP_SECONDS = 0.2


@dataclass(slots=True)
class LastWriteGroup:
    """Replicas that accept every edit immediately and gossip their tables."""

    network: Network
    tables_by_name: dict[str, RoutingTable] = field(default_factory=dict)


def make_last_write_service(
    seed: int, names: tuple[str, ...]
) -> ControlService:
    """Make last-write-wins replicas and the interface to them."""
    queue = make_queue(seed)
    network = Network(queue, loss=0.02, repeats=0.02)
    group = LastWriteGroup(network, dict.fromkeys(names, empty_table()))

    def submit(name: str, edit: Edit, reply: Reply) -> None:
        table = changed_table(group.tables_by_name[name], edit)
        group.tables_by_name[name] = table
        reply(Accepted(table.version))

    def send_table(name: str) -> None:
        table = group.tables_by_name[name]
        for other in names:
            if other != name:
                deliver = functools.partial(merge_table, other, table)
                send(network, name, other, deliver)

    def merge_table(name: str, table: RoutingTable) -> None:
        if table.version > group.tables_by_name[name].version:
            group.tables_by_name[name] = table

    for name in names:
        schedule_every(
            queue, GOSSIP_SECONDS, functools.partial(send_table, name)
        )
    return ControlService(
        queue, network, names, submit, group.tables_by_name.get
    )
