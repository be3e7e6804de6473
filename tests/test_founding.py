"""A group formed under message loss has complete request history later."""

import pytest

from mustardhold.systems.coordination import make_member_tables
from mustardhold.systems.request_history import update_owner_history
from mustardhold.systems.views import install_view
from mustardhold.tables.views import Member, View
from tools.fakes.event_queue import run_until
from tools.fakes.fleet import PRODUCT, make_fleet
from tools.fakes.servers import make_servers

BALANCERS = ('b1', 'b2', 'b3')
LOSS = 0.5
LOSS_END = 4.0
END = 8.0


@pytest.mark.parametrize('seed', [1, 5, 8, 9, 10, 14, 15, 19, 41, 43, 50, 52])
def test_a_group_vouches_after_a_disturbed_start(seed):
    # All seeds but 1: the views of epochs 1 and 2 are installed between two
    # ticks. A member whose history followed only at ticks took epoch 1 for
    # missing, and no member had complete history.
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


@pytest.mark.parametrize(('incarnation', 'complete'), [(1, True), (2, False)])
def test_a_restarted_member_has_no_history_of_the_first_view(
    incarnation, complete
):
    # The first view may reach a member late, after a restart that cost it the
    # requests of that view.
    group = tuple(Member(name, 'dc', '127.0.0.1:1') for name in BALANCERS)
    tables = make_member_tables('b1', 0, incarnation, group)
    members = {member.instance_id: member for member in group}
    first = View(1, members, dict.fromkeys(members, 1))
    second = View(2, members, first.incarnations_by_id | {'b1': incarnation})
    for now, view in enumerate((first, second), 1):
        assert install_view(tables, now, view)
        spans = tables.requests.history.spans_by_bucket
        assert spans
        assert all(span.is_complete is complete for span in spans.values())
