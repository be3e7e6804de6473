"""The state of a running balancer."""

import logging
import socket
from dataclasses import dataclass, field

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.daemons.error_reporting import ErrorReporter
from mustardhold.daemons.packet_loop import bind_socket
from mustardhold.systems.addresses import split_address
from mustardhold.systems.coordination import make_member_tables
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.observations import Observations
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.views import Member

MICROSECONDS = 1_000_000


@dataclass(slots=True)
class Balancer:
    """State, sockets and settings of a running balancer.

    Attributes
    ----------
    group_by_id
        Configured balancers of the spray group.
    peer_sources
        Host and port from which each member of the group sends.
    stopped
        Set once all work in progress is finished and the process may exit.
    """

    options: BalancerOptions
    tables: BalancerTables
    clock: Clock
    data_socket: socket.socket
    peer_socket: socket.socket
    group_by_id: dict[str, Member]
    peer_sources: frozenset[tuple[str, int]]
    error_reporter: ErrorReporter
    log: logging.Logger
    observations: Observations = field(default_factory=Observations)
    stopped: trio.Event = field(default_factory=trio.Event)


def make_balancer(
    options: BalancerOptions, clock: Clock, log: logging.Logger
) -> Balancer:
    """Open a balancer's sockets and create its tables."""
    incarnation = int(clock.now().timestamp() * MICROSECONDS)
    tables = make_member_tables(
        options.instance_id, clock.monotonic(), incarnation, options.group
    )
    tables.hedging.policy = options.hedging
    return Balancer(
        options,
        tables,
        clock,
        bind_socket(options.data_address),
        bind_socket(options.peer_address),
        {member.instance_id: member for member in options.group},
        frozenset(
            split_address(member.peer_address) for member in options.group
        ),
        ErrorReporter(log, tables.counters),
        log,
    )
