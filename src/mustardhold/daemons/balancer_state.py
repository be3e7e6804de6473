"""What a running balancer is made of."""

import logging
import socket
from dataclasses import dataclass

from mustardhold.adapters.clock import Clock
from mustardhold.daemons.packet_loop import bind_socket
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.views import View


@dataclass(slots=True)
class Balancer:
    """A running balancer."""

    options: BalancerOptions
    tables: BalancerTables
    clock: Clock
    data_socket: socket.socket
    peer_socket: socket.socket
    log: logging.Logger


def make_balancer(
    options: BalancerOptions, clock: Clock, log: logging.Logger
) -> Balancer:
    """Open a balancer's sockets and make its tables."""
    view = View(1, {member.instance_id: member for member in options.group})
    return Balancer(
        options,
        BalancerTables(options.instance_id, options.data_centre, view),
        clock,
        bind_socket(options.data_address),
        bind_socket(options.peer_address),
        log,
    )
