"""Check of a configuration before an operator sends it."""

import math
import re
from collections.abc import Iterable, Iterator, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from mustardhold.platform.configuration_differences import (
    Difference,
    ReadConfiguration,
    find_differences,
    load_fields,
    read_fields,
)
from mustardhold.platform.configuration_warnings import (
    find_notes,
    find_warnings,
)
from mustardhold.platform.configurations import validate_document
from mustardhold.platform.json_errors import join_place
from mustardhold.tables.constants import MAX_CONFIGURATION_BYTES
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import Finding

# A finding concerns at most ``routes[0].split[0].weight``.
MAX_PLACE_LEVELS = 5
NOT_SEARCHED = Finding(
    '', 'warnings and differences are looked for once all is well-formed'
)

_byte_position = re.compile(r'\(byte (\d+)\)')
_last_part = re.compile(r'\.?[^.\[\]]+$|\[\d+\]$')


class Severity(StrEnum):
    """How much a finding matters.

    Attributes
    ----------
    ERROR
        Control refuses the configuration.
    WARNING
        Something has no effect, or contradicts something else.
    NOTE
        Worth a look.
    """

    ERROR = 'error'
    WARNING = 'warning'
    NOTE = 'note'


class RatedFinding(NamedTuple):
    """A finding and its severity."""

    severity: Severity
    finding: Finding


class CheckReport(msgspec.Struct, frozen=True):
    """What one check found, in the order of the document.

    Attributes
    ----------
    differences
        None if the configuration was not compared with another one.
    """

    findings: tuple[RatedFinding, ...]
    differences: tuple[Difference, ...] | None = None


def check_configuration(
    raw: bytes, in_force: ReadConfiguration | None
) -> CheckReport:
    """Check a configuration, and compare it with the version in force.

    Errors are those for which control refuses it, by the same code. What is
    malformed cannot be searched for warnings and differences.
    """
    size_errors = tuple(find_size_errors(raw))
    if size_errors:
        return CheckReport(tuple(rate(Severity.ERROR, size_errors)))
    validated = validate_document(raw)
    errors = validated.error if isinstance(validated, Err) else ()
    located = tuple(with_line(error, raw) for error in errors)
    read = read_fields(raw)
    if isinstance(read, Err):
        rated = rate(Severity.ERROR, located or read.error)
        return CheckReport(
            (
                *sort_findings(rated, load_fields(raw) or {}),
                *rate(Severity.NOTE, (NOT_SEARCHED,)),
            )
        )
    findings = [
        *rate(Severity.ERROR, located),
        *rate(Severity.WARNING, find_version_warnings(in_force, read.value)),
        *rate(Severity.WARNING, find_warnings(read.value.wire)),
        *rate(Severity.NOTE, find_notes(read.value.wire)),
    ]
    return CheckReport(
        sort_findings(findings, read.value.fields),
        tuple(find_differences(in_force, read.value)) if in_force else None,
    )


def rate(
    severity: Severity, findings: Iterable[Finding]
) -> Iterator[RatedFinding]:
    """Yield each finding with the severity of all."""
    for finding in findings:
        yield RatedFinding(severity, finding)


def find_size_errors(raw: bytes) -> Iterator[Finding]:
    """Find a size that control refuses, or nothing at all."""
    if not raw.strip():
        yield Finding('', 'the file is empty')
    elif len(raw) > MAX_CONFIGURATION_BYTES:
        yield Finding('', f'is larger than {MAX_CONFIGURATION_BYTES} bytes')


def find_version_warnings(
    in_force: ReadConfiguration | None, read: ReadConfiguration
) -> Iterator[Finding]:
    """Find a version that would not replace the one in force."""
    if in_force is None:
        return
    current = in_force.wire.version
    if read.wire.version <= current:
        yield Finding(
            'version',
            f'{read.wire.version} is not above {current}, which is in force: '
            'no effect',
        )


def with_line(finding: Finding, raw: bytes) -> Finding:
    """Return a finding with line and column in place of a byte's number."""
    found = _byte_position.search(finding.message)
    if found is None:
        return finding
    before = raw[: int(found[1])]
    line = before.count(b'\n') + 1
    column = len(before) - before.rfind(b'\n')
    position = f'(line {line}, column {column})'
    return Finding(finding.place, finding.message.replace(found[0], position))


def number_places(fields: Any) -> Iterator[tuple[str, int]]:
    """Yield the location of each field with its number in the document."""
    waiting = [('', fields, 0)]
    number = 0
    while waiting:
        place, part, level = waiting.pop()
        yield place, number
        number += 1
        if level < MAX_PLACE_LEVELS:
            inner = [
                (one, value, level + 1) for one, value in parts_of(place, part)
            ]
            waiting.extend(reversed(inner))


def parts_of(place: str, part: Any) -> Iterator[tuple[str, Any]]:
    """Yield the location and value of each field or entry of a part."""
    if isinstance(part, dict):
        for key, one in part.items():
            yield join_place(place, key), one
    elif isinstance(part, list):
        for number, one in enumerate(part):
            yield f'{place}[{number}]', one


def sort_findings(
    findings: Iterable[RatedFinding], fields: Mapping[str, Any]
) -> tuple[RatedFinding, ...]:
    """Sort findings by their locations in the document."""
    numbers_by_place = dict(number_places(fields))
    return tuple(
        sorted(
            findings,
            key=lambda one: find_number(numbers_by_place, one.finding.place),
        )
    )


def find_number(numbers_by_place: Mapping[str, int], place: str) -> float:
    """Return the number of a location, or of the closest one around it.

    A field that is absent counts as its parent; an absent part comes last.
    """
    if not place:
        return 0
    while place and place not in numbers_by_place:
        shorter = _last_part.sub('', place)
        place = '' if shorter == place else shorter
    return numbers_by_place[place] if place else math.inf
