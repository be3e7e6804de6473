"""Tabulates the scores of the standard days on the users' platform."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from tools.registry import Measurement, Table

JOURNAL = Path(__file__).parent.parent.parent / 'journal'
COLUMNS = (
    'site',
    'day',
    'worth',
    'served',
    'weakest part',
    'its value',
    'prices',
    'broken rules',
)
NOTES = (
    'the newest full score of each site in journal/, as the bench wrote it',
    'served is the share of requests that were answered, late ones included',
    'a change of less than 0.03 is noise, as processor time is measured',
)


def newest_scores() -> dict[str, dict[str, Any]]:
    """Return the latest full score of each site in the journal, by site."""
    scores: dict[str, dict[str, Any]] = {}
    for path in sorted(JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text(encoding='utf-8'))
        is_full = '--quick' not in entry['argv']
        if entry['cmd'] == 'score' and entry['ok'] and is_full:
            scores[entry['site']] = entry
    return scores


def make_day_row(site: str, day: dict[str, Any]) -> tuple[str | float, ...]:
    """Return the row of one day."""
    name, _, least = min(day['parts'], key=lambda part: part[2])
    prices = sum(price[2] for price in day['prices'])
    broken = ', '.join(
        f'{rule} {count}' for rule, count in day['rules'].items()
    )
    cells = [site, day['name'], round(day['G'], 3), round(day['served'], 3)]
    return (*cells, name, round(least, 3), round(prices, 3), broken or '-')


def make_rows() -> Iterator[tuple[str | float, ...]]:
    """Yield a row for each day, and the mean of the days with faults."""
    for site, entry in sorted(newest_scores().items()):
        days = [day for day in entry['days'] if day['mark'] is None]
        yield from (make_day_row(site, day) for day in days)
        troubled = [
            day['G']
            for day in days
            if day['slot'] != 'quiet' and not day['name'].startswith('fresh')
        ]
        if troubled:
            mean = round(sum(troubled) / len(troubled), 3)
            empty = ('' for _ in COLUMNS[3:])
            yield (site, 'mean with trouble', mean, *empty)


def measure_platform() -> Table:
    """Build the table of all sites."""
    return Table(COLUMNS, tuple(make_rows()), NOTES)


MEASUREMENTS = (
    Measurement(
        'platform',
        "worth of each standard day on the users' platform",
        measure_platform,
    ),
)
