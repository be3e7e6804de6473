"""The linearizability checker accepts exactly the histories with an order."""

import pytest

from mustardhold.tables.routing import Accepted, Conflict
from tools.fakes.linearizability import Call, find_order


def call(name, expected, span, outcome=None):
    return Call(name, 'p', expected, span[0], span[1], outcome)


NEVER_RETURNED = float('inf')
RACING_EDITS = (
    call('a', 0, (0, 9), Accepted(1)),
    call('b', 0, (0, 9), Conflict('a', 1)),
)
UNANSWERED_EDIT = (
    call('a', 0, (0, NEVER_RETURNED)),
    call('b', 3, (5, 9), Accepted(4)),
)


@pytest.mark.parametrize(
    ('calls', 'order'),
    [
        (RACING_EDITS, ['a', 'b']),
        (UNANSWERED_EDIT, ['a', 'b']),
        ((call('a', 0, (0, NEVER_RETURNED)),), []),
        ((call('a', 2, (0, 1), Conflict('', 0)),), ['a']),
    ],
)
def test_possible_histories_have_an_order(calls, order):
    assert find_order(calls) == order


@pytest.mark.parametrize(
    'calls',
    [
        # two accepted edits of one version
        (call('a', 0, (0, 9), Accepted(1)), call('b', 0, (0, 9), Accepted(2))),
        # the accepted edit began after the other one had lost to it
        (
            call('b', 0, (0, 1), Conflict('a', 1)),
            call('a', 0, (2, 3), Accepted(1)),
        ),
        # an accepted edit is lost
        (
            call('a', 0, (0, 1), Accepted(1)),
            call('b', 1, (2, 3), Conflict('', 0)),
        ),
        # an edit of a version that no edit created
        (call('a', 5, (0, 1), Accepted(6)),),
        # versions decrease
        (
            call('a', 0, (0, 1), Accepted(7)),
            call('b', 7, (2, 3), Accepted(3)),
        ),
    ],
)
def test_impossible_histories_have_no_order(calls):
    assert find_order(calls) is None
