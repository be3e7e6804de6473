"""Loading of YAML settings files; each finding has a line and a column."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml
from yaml.reader import ReaderError

from mustardhold.adapters.settings_nodes import ReadState, read_tree
from mustardhold.systems.settings_checks import (
    find_balancer_errors,
    find_control_errors,
)
from mustardhold.tables.findings import (
    KeyFinding,
    SettingsFinding,
    SourceLocation,
)
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.outcomes import Err, Ok, Outcome

MAX_FILE_BYTES = 1_048_576
MAX_DEPTH = 16
FILE_START = SourceLocation(1, 1)

Findings = tuple[SettingsFinding, ...]
AnyOptions = BalancerOptions | ControlOptions
Options = TypeVar('Options', BalancerOptions, ControlOptions)


@dataclass(slots=True)
class SettingsFile:
    """A settings file and the locations of its keys."""

    path: Path
    locations_by_key: dict[str, SourceLocation] = field(default_factory=dict)

    def locate(self, finding: KeyFinding) -> SettingsFinding:
        """Add the location in the file to a finding.

        Without a location of its own, a finding gets that of its key, or of
        the nearest enclosing key in the file.
        """
        key = finding.key
        while key and key not in self.locations_by_key:
            key = key.rpartition('.')[0]
        location = finding.location or self.locations_by_key.get(
            key, FILE_START
        )
        return SettingsFinding(
            str(self.path),
            location.line,
            location.column,
            finding.key,
            finding.message,
        )


def load_options(path: Path, kind: type[Options]) -> Outcome[Options, Findings]:
    """Read and validate a settings file.

    Returns
    -------
    Outcome
        The options, or all findings.
    """
    loaded = load_file(SettingsFile(path), kind)
    if isinstance(loaded, Err):
        return loaded
    assert isinstance(loaded.value, kind)
    return Ok(loaded.value)


def load_file(
    source: SettingsFile, kind: type[AnyOptions] | None = None
) -> Outcome[AnyOptions, Findings]:
    """Read a settings file; without a kind, guess it from the keys."""
    composed = compose_file(source.path)
    if isinstance(composed, Err):
        return composed
    node = composed.value
    state = ReadState(locations_by_key=source.locations_by_key)
    kind = kind or guess_kind(node)
    tree = read_tree(state, node, kind)
    if not state.findings:
        options = convert(state, tree, kind)
    if state.findings:
        return Err(tuple(sorted(map(source.locate, state.findings))))
    return Ok(options)


def convert(state: ReadState, tree: Any, kind: type[AnyOptions]) -> Any:
    """Convert the values to options and check that they are consistent."""
    options = msgspec.convert(tree, kind)
    if isinstance(options, BalancerOptions):
        state.findings.extend(find_balancer_errors(options))
    else:
        state.findings.extend(find_control_errors(options))
    return options


def guess_kind(node: yaml.Node) -> type[AnyOptions]:
    """Return the options type that has more keys in common with a file."""
    if not isinstance(node, yaml.MappingNode):
        return BalancerOptions
    names = {str(name.value) for name, _ in node.value}
    control = names & set(ControlOptions.__struct_fields__)
    balancer = names & set(BalancerOptions.__struct_fields__)
    return ControlOptions if len(control) > len(balancer) else BalancerOptions


def compose_file(path: Path) -> Outcome[yaml.Node, Findings]:
    """Parse a file to a tree of YAML nodes."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        return file_error(path, error.strerror or 'cannot be read')
    if len(raw) > MAX_FILE_BYTES:
        return file_error(path, f'is larger than {MAX_FILE_BYTES} bytes')
    try:
        return compose_text(path, raw.decode())
    except UnicodeDecodeError as error:
        location = location_after(raw[: error.start].decode())
        message = 'is not UTF-8'
        return Err(
            (
                SettingsFinding(
                    str(path), location.line, location.column, '', message
                ),
            )
        )


def file_error(path: Path, message: str) -> Err[Findings]:
    """Return a finding that concerns the file as a whole."""
    return Err((SettingsFinding(str(path), 1, 1, '', message),))


def compose_text(path: Path, text: str) -> Outcome[yaml.Node, Findings]:
    """Parse a string that contains one YAML document."""
    try:
        unsupported = tuple(find_unsupported_events(path, text))
        node = None if unsupported else yaml.compose(text, yaml.SafeLoader)
    except yaml.YAMLError as error:
        return Err((syntax_finding(path, text, error),))
    if unsupported:
        return Err(unsupported)
    return file_error(path, 'holds no settings') if node is None else Ok(node)


def find_unsupported_events(path: Path, text: str) -> Iterator[SettingsFinding]:
    """Report aliases, and the first node that is nested too deeply."""
    depth = 0
    for event in yaml.parse(text, yaml.SafeLoader):
        mark = event.start_mark
        assert mark is not None
        place = (str(path), mark.line + 1, mark.column + 1, '')
        if isinstance(event, yaml.AliasEvent):
            yield SettingsFinding(*place, 'aliases are not supported')
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            yield SettingsFinding(*place, 'is nested too deeply')
            return


def syntax_finding(
    path: Path, text: str, error: yaml.YAMLError
) -> SettingsFinding:
    """Convert a YAML syntax error to a finding."""
    place, problem = FILE_START, str(error)
    if isinstance(error, ReaderError):
        place, problem = location_after(text[: error.position]), error.reason
    elif isinstance(error, yaml.MarkedYAMLError) and error.problem_mark:
        mark = error.problem_mark
        place = SourceLocation(mark.line + 1, mark.column + 1)
        problem = error.problem or ''
    return SettingsFinding(
        str(path), place.line, place.column, '', f'is not YAML: {problem}'
    )


def location_after(before: str) -> SourceLocation:
    """Return the location directly after a string."""
    last_line = before.rpartition('\n')[2]
    return SourceLocation(before.count('\n') + 1, len(last_line) + 1)
