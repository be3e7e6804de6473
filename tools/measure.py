"""Runs measurements: ``./run measure NAME|--list``.

Prints the table and keeps it as JSON in ``docs/results/NAME.json``.
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


def keep_table(name: str, table: Table) -> None:
    """Write a table as JSON beside the pages that quote it."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(table)).decode()
    path = RESULTS / f'{name}.json'
    path.write_text(f'{encoded}\n', encoding='utf-8')


def main(argv: Sequence[str] | None = None) -> int:
    """Run the measurement that the arguments ask for."""
    parser = argparse.ArgumentParser('./run measure', description=__doc__)
    parser.add_argument('name', nargs='?')
    parser.add_argument('--list', action='store_true')
    arguments = parser.parse_args(argv)
    known = measurements_by_name()
    if arguments.list:
        for measurement in known.values():
            print(f'{measurement.name:<20} {measurement.summary}')
        return 0
    if arguments.name not in known:
        parser.error(f'no such measurement; known: {", ".join(known)}')
    table = known[arguments.name].run()
    print_table(table)
    keep_table(arguments.name, table)
    return 0


if __name__ == '__main__':
    sys.exit(main())
