"""Settings files, in YAML; every finding is kept with its place."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml
from yaml.reader import ReaderError

from mustardhold.adapters.settings_nodes import Reading, read_tree
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
TOP = SourceLocation(1, 1)

Findings = tuple[SettingsFinding, ...]
AnyOptions = BalancerOptions | ControlOptions
Options = TypeVar('Options', BalancerOptions, ControlOptions)


@dataclass(slots=True)
class SettingsFile:
    """A file that was read, and where its keys stand."""

    path: Path
    marks_by_key: dict[str, SourceLocation] = field(default_factory=dict)

    def locate(self, found: KeyFinding) -> SettingsFinding:
        """Give a finding its place in the file."""
        key = found.key
        while key and key not in self.marks_by_key:
            key = key.rpartition('.')[0]
        mark = found.location or self.marks_by_key.get(key, TOP)
        return SettingsFinding(
            str(self.path), mark.line, mark.column, found.key, found.message
        )


def load_options(path: Path, kind: type[Options]) -> Outcome[Options, Findings]:
    """Read and check a settings file.

    Returns
    -------
    Outcome
        The options, or everything that is wrong with the file.
    """
    loaded = load_file(SettingsFile(path), kind)
    if isinstance(loaded, Err):
        return loaded
    assert isinstance(loaded.value, kind)
    return Ok(loaded.value)


def load_file(
    source: SettingsFile, kind: type[AnyOptions] | None = None
) -> Outcome[AnyOptions, Findings]:
    """Read a file, as the kind that its keys resemble if none is given."""
    composed = compose_file(source.path)
    if isinstance(composed, Err):
        return composed
    node = composed.value
    reading = Reading(marks_by_key=source.marks_by_key)
    kind = kind or guess_kind(node)
    tree = read_tree(reading, node, kind)
    if not reading.findings:
        options = convert(reading, tree, kind)
    if reading.findings:
        return Err(tuple(sorted(map(source.locate, reading.findings))))
    return Ok(options)


def convert(reading: Reading, tree: Any, kind: type[AnyOptions]) -> Any:
    """Make the options, and look for impossible combinations."""
    options = msgspec.convert(tree, kind)
    if isinstance(options, BalancerOptions):
        reading.findings.extend(find_balancer_errors(options))
    else:
        reading.findings.extend(find_control_errors(options))
    return options


def guess_kind(node: yaml.Node) -> type[AnyOptions]:
    """Choose the kind of options that shares more keys with a file."""
    if not isinstance(node, yaml.MappingNode):
        return BalancerOptions
    names = {str(name.value) for name, _ in node.value}
    control = names & set(ControlOptions.__struct_fields__)
    balancer = names & set(BalancerOptions.__struct_fields__)
    return ControlOptions if len(control) > len(balancer) else BalancerOptions


def compose_file(path: Path) -> Outcome[yaml.Node, Findings]:
    """Read a file as a tree of YAML nodes."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        return whole_file(path, error.strerror or 'cannot be read')
    if len(raw) > MAX_FILE_BYTES:
        return whole_file(path, f'is larger than {MAX_FILE_BYTES} bytes')
    try:
        return compose_text(path, raw.decode())
    except UnicodeDecodeError as error:
        mark = mark_at(raw[: error.start].decode())
        message = 'is not UTF-8'
        return Err(
            (SettingsFinding(str(path), mark.line, mark.column, '', message),)
        )


def whole_file(path: Path, message: str) -> Err[Findings]:
    """Report a finding that has no place within a file."""
    return Err((SettingsFinding(str(path), 1, 1, '', message),))


def compose_text(path: Path, text: str) -> Outcome[yaml.Node, Findings]:
    """Compose a text that holds one document."""
    try:
        refused = tuple(find_refused_events(path, text))
        node = None if refused else yaml.compose(text, yaml.SafeLoader)
    except yaml.YAMLError as error:
        return Err((syntax_finding(path, text, error),))
    if refused:
        return Err(refused)
    return whole_file(path, 'holds no settings') if node is None else Ok(node)


def find_refused_events(path: Path, text: str) -> Iterator[SettingsFinding]:
    """Yield aliases, and the first nesting beyond what settings need."""
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
    """Tell where a file breaks the rules of YAML."""
    place, problem = TOP, str(error)
    if isinstance(error, ReaderError):
        place, problem = mark_at(text[: error.position]), error.reason
    elif isinstance(error, yaml.MarkedYAMLError) and error.problem_mark:
        mark = error.problem_mark
        place = SourceLocation(mark.line + 1, mark.column + 1)
        problem = error.problem or ''
    return SettingsFinding(
        str(path), place.line, place.column, '', f'is not YAML: {problem}'
    )


def mark_at(before: str) -> SourceLocation:
    """Find the place that follows some text."""
    last_line = before.rpartition('\n')[2]
    return SourceLocation(before.count('\n') + 1, len(last_line) + 1)
