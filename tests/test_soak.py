"""The real programs under random faults, for a few seconds."""

import pytest

from tools.soak.__main__ import soak

# Seeds at which a promise once broke are added here, with a line on the cause.
SEEDS = (1,)
FAULT_SECONDS = 4.0


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_faults(seed):
    assert soak(seed, FAULT_SECONDS) == []
