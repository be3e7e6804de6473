"""A group formed under message loss has complete request history later."""

import pytest

from mustardhold.systems.request_history import update_owner_history
from tools.fakes.event_queue import run_until
from tools.fakes.fleet import PRODUCT, make_fleet
from tools.fakes.servers import make_servers

BALANCERS = ('b1', 'b2', 'b3')
LOSS = 0.5
LOSS_END = 4.0
END = 8.0


@pytest.mark.parametrize('seed', [1, 9])
def test_a_group_vouches_after_a_disturbed_start(seed):
    # Seed 9: the view of epoch 1 is proposed but superseded before any member
    # installs it. The members of view 2 then cannot tell that no view came
    # before theirs, so none has complete history.
    fleet = make_fleet(seed, PRODUCT, BALANCERS, make_servers('werkstatt', 2))
    fleet.network.loss = LOSS
    run_until(fleet.queue, LOSS_END)
    fleet.network.loss = 0
    run_until(fleet.queue, END)
    for tables in fleet.balancers_by_id.values():
        update_owner_history(tables, fleet.queue.now)
        spans = tables.requests.history.spans_by_bucket
        assert spans
        assert all(span.is_complete for span in spans.values())
