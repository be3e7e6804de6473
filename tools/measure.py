"""Runs measurements: ``./run measure NAME|--list``.

Prints the table and writes it as JSON to ``docs/results/NAME.json``.
"""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from tools.registry import Table, measurements_by_name

RESULTS = Path(__file__).parent.parent / 'docs' / 'results'


def print_table(table: Table) -> None:
    """Print a table with aligned columns, then its notes."""
    texts = [table.columns, *(tuple(map(str, row)) for row in table.rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = zip(row, widths, strict=True)
        print('  '.join(text.ljust(width) for text, width in cells).rstrip())
    for note in table.notes:
        print(f'note: {note}')


def write_table(name: str, table: Table) -> None:
    """Write a table as JSON to the results folder."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(table)).decode()
    path = RESULTS / f'{name}.json'
    path.write_text(f'{encoded}\n', encoding='utf-8')


def main(argv: Sequence[str] | None = None) -> int:
    """Run or list measurements according to the command line."""
    parser = argparse.ArgumentParser('./run measure', description=__doc__)
    parser.add_argument('name', nargs='?')
    parser.add_argument('--list', action='store_true')
    arguments = parser.parse_args(argv)
    measurements = measurements_by_name()
    if arguments.list:
        for measurement in measurements.values():
            print(f'{measurement.name:<20} {measurement.summary}')
        return 0
    if arguments.name not in measurements:
        parser.error(f'no such measurement; known: {", ".join(measurements)}')
    table = measurements[arguments.name].run()
    print_table(table)
    write_table(arguments.name, table)
    return 0


if __name__ == '__main__':
    sys.exit(main())
