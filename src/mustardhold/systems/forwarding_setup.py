"""Makes the tables of a balancer that forwards by tokens."""

from mustardhold.systems.opening_admission import make_overload_control
from mustardhold.systems.server_load import make_server_load
from mustardhold.tables.forwarding import ForwardingTables
from mustardhold.tables.options import TokenBalancerOptions


def make_tables(options: TokenBalancerOptions) -> ForwardingTables:
    """Make empty tables; parts that are turned off have no state."""
    tables = ForwardingTables(
        options.data_centre,
        opening_hedge_share=options.opening_hedge_share,
        avoids_suspects=options.shares_evidence,
        overload=make_overload_control(options),
        name=options.instance_id,
    )
    tables.cold_limits.name = options.instance_id
    tables.answers.load = make_server_load(options)
    return tables
