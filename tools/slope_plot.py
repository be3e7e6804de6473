"""Plots the measured points and the fitted line of every slope."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib import rc_context
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from tools.registry import Cell, Table

PLOT_FILE = Path(__file__).parents[1] / 'docs' / 'design' / 'slopes.svg'
COLUMNS = 3
INCHES_PER_PLOT = 3.2


def parse_numbers(cell: Cell) -> list[float]:
    """Parse the numbers in a table cell."""
    return [float(text) for text in str(cell).split()]


def draw_slope(axes: Axes, row: Sequence[Cell]) -> None:
    """Plot the points and the fitted line of one slope."""
    name, x_unit, y_unit, *fitted = row
    growth, start = map(float, fitted[:2])
    xs, ys = map(parse_numbers, fitted[2:])
    axes.plot(xs, ys, 'o')
    axes.plot(xs, [start + growth * x for x in xs])
    axes.set_title(str(name), fontsize='medium')
    axes.set_xlabel(str(x_unit))
    axes.set_ylabel(str(y_unit))
    axes.ticklabel_format(style='sci', scilimits=(-2, 4))


def draw_slopes(table: Table) -> None:
    """Plot every slope of a table into one figure."""
    rows = -(-len(table.rows) // COLUMNS)
    size = (COLUMNS * INCHES_PER_PLOT * 1.2, rows * INCHES_PER_PLOT)
    figure = Figure(figsize=size, layout='constrained')
    for number, row in enumerate(table.rows, start=1):
        draw_slope(figure.add_subplot(rows, COLUMNS, number), row)
    with rc_context({'svg.hashsalt': 'slopes'}):
        figure.savefig(PLOT_FILE, metadata={'Date': None})
