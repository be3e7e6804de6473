"""Soak of the real programs under random faults, for a few seconds."""

import pytest

from tools.soak.__main__ import soak

# Seeds that found a fault, with its cause.
# 11: a restarted server accepted packets of a flow of its earlier incarnation
#     under the same id; the servers of the soak now reset such flows. Later,
#     intermittently: a delayed balancer opened a flow at a restarted server
#     with the token of the earlier incarnation, and the other balancers reset
#     the flow.
SEEDS = (1, 11)
FAULT_SECONDS = 4.0


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_faults(seed):
    assert soak(seed, FAULT_SECONDS) == []
