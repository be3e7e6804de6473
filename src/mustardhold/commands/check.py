"""The ``check`` command: validates settings files."""

import argparse
from collections.abc import Iterable
from pathlib import Path

from mustardhold.adapters.settings import (
    AnyOptions,
    SettingsFile,
    load_file,
)
from mustardhold.commands.output import (
    EXIT_OK,
    EXIT_USAGE,
    print_errors,
    print_line,
)
from mustardhold.systems.fleet_checks import find_fleet_errors
from mustardhold.tables.findings import SettingsFinding
from mustardhold.tables.outcomes import Ok


def check_files(paths: Iterable[Path]) -> list[SettingsFinding]:
    """Validate each file, then the valid files together as one fleet."""
    findings: list[SettingsFinding] = []
    options_by_file: dict[str, AnyOptions] = {}
    sources = {str(path): SettingsFile(path) for path in paths}
    for name, source in sources.items():
        loaded = load_file(source)
        if isinstance(loaded, Ok):
            options_by_file[name] = loaded.value
        else:
            findings.extend(loaded.error)
    findings.extend(
        sources[fleet_error.file].locate(fleet_error.finding)
        for fleet_error in find_fleet_errors(options_by_file)
    )
    return findings


def run_check(arguments: argparse.Namespace) -> int:
    """Run the ``check`` command and print all findings."""
    findings = check_files(arguments.files)
    print_errors(findings)
    print_line(f'{len(arguments.files)} files, {len(findings)} findings')
    return EXIT_USAGE if findings else EXIT_OK
