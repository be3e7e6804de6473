"""The checker of histories finds what no order explains."""

import pytest

from mustardhold.tables.routing import Accepted, Conflict
from tools.fakes.linearizability import Call, find_order


def call(name, expected, span, outcome=None):
    return Call(name, 'p', expected, span[0], span[1], outcome)


LATE = float('inf')
RACE = (
    call('a', 0, (0, 9), Accepted(1)),
    call('b', 0, (0, 9), Conflict('a', 1)),
)
LATE_EFFECT = (
    call('a', 0, (0, LATE)),
    call('b', 3, (5, 9), Accepted(4)),
)


@pytest.mark.parametrize(
    ('calls', 'order'),
    [
        (RACE, ['a', 'b']),
        (LATE_EFFECT, ['a', 'b']),
        ((call('a', 0, (0, LATE)),), []),
        ((call('a', 2, (0, 1), Conflict('', 0)),), ['a']),
    ],
)
def test_possible_histories_have_an_order(calls, order):
    assert find_order(calls) == order


@pytest.mark.parametrize(
    'calls',
    [
        # two winners of one version
        (call('a', 0, (0, 9), Accepted(1)), call('b', 0, (0, 9), Accepted(2))),
        # the winner began after the loser's answer
        (
            call('b', 0, (0, 1), Conflict('a', 1)),
            call('a', 0, (2, 3), Accepted(1)),
        ),
        # an accepted edit is gone
        (
            call('a', 0, (0, 1), Accepted(1)),
            call('b', 1, (2, 3), Conflict('', 0)),
        ),
        # an edit of a version that nobody made
        (call('a', 5, (0, 1), Accepted(6)),),
        # versions run backwards
        (
            call('a', 0, (0, 1), Accepted(7)),
            call('b', 7, (2, 3), Accepted(3)),
        ),
    ],
)
def test_impossible_histories_have_none(calls):
    assert find_order(calls) is None
