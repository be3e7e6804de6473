"""Command-line arguments of both programs.

Read without ``argparse``, whose import would delay the start.
"""

from collections.abc import Sequence
from typing import NamedTuple

from mustardhold.tables.outcomes import Err, Ok, Outcome

PROGRAMS = ('balancer', 'control')
HEDGE_SHARE_OPTION = '--opening-hedge-share'
DEFAULT_HEDGE_SHARE = 1.0


class ProgramArguments(NamedTuple):
    """The program to run and its options.

    Attributes
    ----------
    opening_hedge_share
        Share of the flows whose first opening goes to two servers at once.
    """

    program: str
    opening_hedge_share: float = DEFAULT_HEDGE_SHARE


def read_arguments(
    arguments: Sequence[str],
) -> Outcome[ProgramArguments, str]:
    """Parse the arguments; an error is a message for the operator."""
    program, *options = arguments or ('',)
    if program not in PROGRAMS:
        return Err(f'expected one program name: {", ".join(PROGRAMS)}')
    if not options:
        return Ok(ProgramArguments(program))
    name, *parts = [part for one in options for part in one.split('=', 1)]
    if program != 'balancer' or name != HEDGE_SHARE_OPTION:
        return Err(
            f'unexpected {" ".join(options)!r}; expected one program name: '
            f'{", ".join(PROGRAMS)}; balancer takes {HEDGE_SHARE_OPTION} SHARE'
        )
    share = read_share(parts)
    if share is None:
        return Err(
            f'{HEDGE_SHARE_OPTION}: expected one number from 0 to 1, '
            f'not {" ".join(parts)!r}'
        )
    return Ok(ProgramArguments(program, share))


def read_share(texts: Sequence[str]) -> float | None:
    """Return the only text as a number from 0 to 1; None if it is not one."""
    if len(texts) != 1:
        return None
    try:
        share = float(texts[0])
    except ValueError:
        return None
    return share if 0 <= share <= 1 else None
