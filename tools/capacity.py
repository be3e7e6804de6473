"""Works out the capacity page from the measured slopes.

``python -m tools.capacity`` prints the page's tables; with ``--write`` it
puts them into ``docs/CAPACITY.md`` between the markers. CI checks that the
page and the committed results agree.
"""

import argparse
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from tools.capacity_line import Line
from tools.capacity_lines import LINES
from tools.capacity_size import BUDGETS, PLANNED, Budget
from tools.registry import Table

ROOT = Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'
RESULTS = ROOT / 'docs' / 'results' / 'slopes.json'
BEGIN = '<!-- generated: {name} -->'
END = '<!-- end of generated part -->'


@dataclass(frozen=True, slots=True)
class Measured:
    """A slope as it was measured.

    Attributes
    ----------
    last_point
        Largest value that was measured.
    """

    unit: str
    growth: float
    start: float
    points: str
    values: str

    @property
    def last_point(self) -> float:
        """Read the largest measured value of x."""
        return float(self.points.split()[-1])


Slopes = Mapping[str, Measured]
Rows = Iterator[Sequence[str]]
MakeRows = Callable[[Slopes], Rows]


def read_slopes() -> dict[str, Measured]:
    """Read the committed results, by the name of the slope."""
    table = msgspec.json.decode(RESULTS.read_bytes(), type=Table)
    return {
        str(name): Measured(
            f'{y_unit} per {x_unit}',
            float(growth),
            float(start),
            str(points),
            str(values),
        )
        for name, x_unit, y_unit, growth, start, points, values in table.rows
    }


def value_of(line: Line, slopes: Slopes) -> float:
    """Work out a line at the planned size."""
    growths = {name: slope.growth for name, slope in slopes.items()}
    growths.update(
        (f'{name} at 0', slope.start) for name, slope in slopes.items()
    )
    return line.formula(PLANNED, growths)


def reach_of(line: Line, slopes: Slopes) -> str:
    """Tell how far the planned size lies beyond the measured range."""
    slope = slopes[line.slope]
    beyond = line.x_at_size(PLANNED) / slope.last_point
    return 'within' if beyond <= 1 else f'{beyond:.1f} x beyond'


def verdict_of(line: Line, budget: Budget, value: float) -> str:
    """Compare a line with its budget."""
    share = value / budget.limit
    return f'{share:.1%}' if share <= 1 else f'OVER: {share:.1f} x'


def budget_rows(slopes: Slopes) -> Rows:
    """Yield a row for each line of the page."""
    yield [
        'role',
        'what',
        'formula',
        'at size',
        'of budget',
        'measured range',
        'mechanism',
        'built',
        'what would bring it under',
    ]
    for line in LINES:
        budget = BUDGETS[line.budget]
        value = value_of(line, slopes)
        yield [
            line.role,
            line.what,
            line.text,
            f'{value:.3g} {budget.unit}',
            verdict_of(line, budget, value),
            reach_of(line, slopes),
            line.mechanism,
            line.built,
            line.remedy,
        ]


def slope_rows(slopes: Slopes) -> Rows:
    """Yield a row for each measured slope."""
    yield ('slope', 'growth', 'at 0', 'points', 'values')
    for name, slope in slopes.items():
        yield (
            name,
            f'{slope.growth:.4g} {slope.unit}',
            f'{slope.start:.4g}',
            slope.points,
            slope.values,
        )


def markdown(rows: Rows) -> str:
    """Format rows as a table of the page."""
    lines = [f'| {" | ".join(row)} |' for row in rows]
    rule = '|---' * (lines[0].count('|') - 1)
    return '\n'.join([lines[0], f'{rule}|', *lines[1:]])


PARTS: Mapping[str, MakeRows] = {'budgets': budget_rows, 'slopes': slope_rows}


def regenerate(page: str, slopes: Slopes) -> str:
    """Replace the generated parts of the page."""
    for name, rows in PARTS.items():
        begin = BEGIN.format(name=name)
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(END)
        page = f'{before}{begin}\n\n{markdown(rows(slopes))}\n\n{END}{after}'
    return page


def main(argv: Sequence[str] | None = None) -> int:
    """Check the page, or write it; exit 1 where it disagrees."""
    parser = argparse.ArgumentParser('tools.capacity', description=__doc__)
    parser.add_argument('--write', action='store_true')
    arguments = parser.parse_args(argv)
    page = PAGE.read_text(encoding='utf-8')
    fresh = regenerate(page, read_slopes())
    if arguments.write:
        PAGE.write_text(fresh, encoding='utf-8')
        return 0
    if fresh != page:
        print(f'{PAGE} does not agree with {RESULTS}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
