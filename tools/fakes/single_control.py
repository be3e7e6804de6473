"""A control instance that is a group of its own, for tests of its handlers."""

import logging
from datetime import timedelta
from pathlib import Path

from mustardhold.adapters.clock import SystemClock
from mustardhold.daemons.registry_state import RegistryControl, make_control
from mustardhold.tables.options import ControlOptions, GrowthPolicy, Replica
from tools.processes import free_tcp_address

REPORT_INTERVAL = timedelta(seconds=1)


def make_single_control(folder: Path) -> RegistryControl:
    """Make a control instance with its data in a folder; it is not started."""
    address = free_tcp_address()
    return make_control(
        ControlOptions(
            address,
            'dc-1',
            address,
            str(folder),
            (Replica(address, 'dc-1', address),),
        ),
        GrowthPolicy(1, may_form=True),
        REPORT_INTERVAL,
        SystemClock(),
        logging.getLogger('test'),
    )
