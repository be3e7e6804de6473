"""The ``check-configuration`` command: checks what an operator will send."""

import argparse
import json
import re
from collections.abc import Iterator, Sized
from pathlib import Path
from typing import Any

import msgspec

from mustardhold.commands.configuration_fetching import fetch_configuration
from mustardhold.commands.output import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    print_error,
    print_line,
)
from mustardhold.platform.configuration_check import (
    CheckReport,
    Severity,
    check_configuration,
)
from mustardhold.platform.configuration_differences import (
    Change,
    Difference,
    ReadConfiguration,
    read_fields,
)
from mustardhold.tables.constants import MAX_CONFIGURATION_BYTES
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

# Both values of a difference fit in one line of 80 columns.
MAX_VALUE_CHARACTERS = 20

# The HTTP client takes port 0 as the default port.
_address = re.compile(r'([^\s/:@]+|\[[0-9A-Fa-f:.]+\]):[1-9][0-9]{0,4}')


def run_check_configuration(arguments: argparse.Namespace) -> int:
    """Check a configuration and print all that was found."""
    read = read_file(arguments.file)
    if isinstance(read, Err):
        print_error(printable(read.error))
        return EXIT_USAGE
    in_force: ReadConfiguration | None = None
    if arguments.against is not None:
        fetched = read_in_force(arguments.against)
        if isinstance(fetched, Err):
            print_error(printable(fetched.error))
            return EXIT_USAGE
        in_force = fetched.value
    report = check_configuration(read.value, in_force)
    if arguments.json:
        print_line(json.dumps(group_report(report), indent=2))
    else:
        for line in format_report(report):
            print_line(printable(line))
        print_line(summarize(report, in_force))
    severities = {rated.severity for rated in report.findings}
    return EXIT_FAILED if severities - {Severity.NOTE} else EXIT_OK


def read_file(path: Path) -> Outcome[bytes, str]:
    """Return the content of a file, up to a byte more than control accepts."""
    try:
        with path.open('rb') as file:
            return Ok(file.read(MAX_CONFIGURATION_BYTES + 1))
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else None
        return Err(f'{path}: {reason or error}')


def read_in_force(source: str) -> Outcome[ReadConfiguration, str]:
    """Read the version in force from a file or a control instance.

    What exists as a file is taken as one.
    """
    path = Path(source)
    address = source.removeprefix('http://').rstrip('/')
    if _address.fullmatch(address) and not path.is_file():
        content = fetch_configuration(address)
        if isinstance(content, Err):
            return Err(f'{source}: {content.error}')
    else:
        content = read_file(path)
    if isinstance(content, Err):
        return Err(f'{content.error} (--against takes HOST:PORT or a file)')
    read = read_fields(content.value)
    if isinstance(read, Err):
        return Err(
            f'{source}: not a configuration: {format_finding(read.error[0])}'
        )
    return read


def group_report(report: CheckReport) -> dict[str, Any]:
    """Return the report in its JSON form: a list for each severity."""
    grouped: dict[str, Any] = {
        f'{severity}s': msgspec.to_builtins(select(report, severity))
        for severity in Severity
    }
    return {**grouped, 'differences': msgspec.to_builtins(report.differences)}


def select(report: CheckReport, severity: Severity) -> list[Finding]:
    """Return the findings of one severity."""
    return [
        rated.finding for rated in report.findings if rated.severity is severity
    ]


def format_report(report: CheckReport) -> Iterator[str]:
    """Format all findings and differences, one a line."""
    for severity, finding in report.findings:
        yield f'{severity:8}{format_finding(finding)}'
    for difference in report.differences or ():
        yield f'{difference.change:8}{format_difference(difference)}'


def format_finding(finding: Finding) -> str:
    """Format a finding with its location, unless it is of the whole file."""
    place = f'{finding.place}: ' if finding.place else ''
    return f'{place}{finding.message}'


def format_difference(difference: Difference) -> str:
    """Format a difference with its location, name and values."""
    name = f' ({difference.name})' if difference.name else ''
    text = f'{difference.place}{name}'
    if difference.change is not Change.CHANGED:
        return text
    old, new = map(format_value, (difference.old, difference.new))
    return f'{text}: {old} -> {new}'


def format_value(value: Any) -> str:
    """Format a value as JSON, shortened for the terminal."""
    if value is None:
        return 'absent'
    text = json.dumps(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return f'{text[: MAX_VALUE_CHARACTERS - 3]}...'


def summarize(report: CheckReport, in_force: ReadConfiguration | None) -> str:
    """Return the number of findings and differences."""
    counts = [
        count(select(report, severity), severity) for severity in Severity
    ]
    if report.differences is not None and in_force is not None:
        differences = count(report.differences, 'difference')
        counts.append(f'{differences} from version {in_force.wire.version}')
    elif in_force is not None:
        counts.append(f'not compared with version {in_force.wire.version}')
    return ', '.join(counts)


def count(found: Sized, noun: str) -> str:
    """Return a number with its noun."""
    number = len(found)
    return f'{number} {noun}' if number == 1 else f'{number} {noun}s'


def printable(text: object) -> str:
    """Escape control characters, which a name in a file may have."""
    return ''.join(
        one if one.isprintable() else ascii(one)[1:-1] for one in str(text)
    )
