"""Computes the tables of the capacity page from the measured slopes.

``python -m tools.capacity`` checks that ``docs/CAPACITY.md`` agrees with the
committed results; ``--write`` updates the tables between its markers. CI runs
the check.
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
class MeasuredSlope:
    """A measured slope with its points.

    Attributes
    ----------
    last_point
        Largest value that was measured.
    """

    unit: str
    growth: float
    intercept: float
    points: str
    values: str

    @property
    def last_point(self) -> float:
        """Largest measured value of x."""
        return float(self.points.split()[-1])


Slopes = Mapping[str, MeasuredSlope]
Rows = Iterator[Sequence[str]]
MakeRows = Callable[[Slopes], Rows]


def read_slopes() -> dict[str, MeasuredSlope]:
    """Read the committed slopes, by their names."""
    table = msgspec.json.decode(RESULTS.read_bytes(), type=Table)
    return {
        str(name): MeasuredSlope(
            f'{y_unit} per {x_unit}',
            float(growth),
            float(offset),
            str(points),
            str(values),
        )
        for name, x_unit, y_unit, growth, offset, points, values in table.rows
    }


def evaluate_line(line: Line, slopes: Slopes) -> float:
    """Evaluate the formula of a line at the planned size."""
    growths = {name: slope.growth for name, slope in slopes.items()}
    growths.update(
        (f'{name} at 0', slope.intercept) for name, slope in slopes.items()
    )
    return line.formula(PLANNED, growths)


def format_extrapolation(line: Line, slopes: Slopes) -> str:
    """Format how far the planned size lies beyond the measured range."""
    slope = slopes[line.slope]
    ratio = line.x_at_size(PLANNED) / slope.last_point
    return 'within' if ratio <= 1 else f'{ratio:.1f} x beyond'


def format_budget_share(line: Line, budget: Budget, value: float) -> str:
    """Format the value of a line as a share of its budget."""
    share = value / budget.limit
    return f'{share:.1%}' if share <= 1 else f'OVER: {share:.1f} x'


def budget_rows(slopes: Slopes) -> Rows:
    """Yield the header and a row for each line of the page."""
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
        value = evaluate_line(line, slopes)
        yield [
            line.role,
            line.what,
            line.text,
            f'{value:.3g} {budget.unit}',
            format_budget_share(line, budget, value),
            format_extrapolation(line, slopes),
            line.mechanism,
            line.built,
            line.remedy,
        ]


def slope_rows(slopes: Slopes) -> Rows:
    """Yield the header and a row for each measured slope."""
    yield ('slope', 'growth', 'at 0', 'points', 'values')
    for name, slope in slopes.items():
        yield (
            name,
            f'{slope.growth:.4g} {slope.unit}',
            f'{slope.intercept:.4g}',
            slope.points,
            slope.values,
        )


def markdown(rows: Rows) -> str:
    """Format rows as a Markdown table."""
    lines = [f'| {" | ".join(row)} |' for row in rows]
    rule = '|---' * (lines[0].count('|') - 1)
    return '\n'.join([lines[0], f'{rule}|', *lines[1:]])


ROWS_BY_PART: Mapping[str, MakeRows] = {
    'budgets': budget_rows,
    'slopes': slope_rows,
}


def replace_generated_parts(page: str, slopes: Slopes) -> str:
    """Return the page with its generated parts recomputed."""
    for name, rows in ROWS_BY_PART.items():
        begin = BEGIN.format(name=name)
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(END)
        page = f'{before}{begin}\n\n{markdown(rows(slopes))}\n\n{END}{after}'
    return page


def main(argv: Sequence[str] | None = None) -> int:
    """Check or write the page; return 1 if it does not match the results."""
    parser = argparse.ArgumentParser('tools.capacity', description=__doc__)
    parser.add_argument('--write', action='store_true')
    arguments = parser.parse_args(argv)
    page = PAGE.read_text(encoding='utf-8')
    updated = replace_generated_parts(page, read_slopes())
    if arguments.write:
        PAGE.write_text(updated, encoding='utf-8')
        return 0
    if updated != page:
        print(f'{PAGE} does not agree with {RESULTS}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
