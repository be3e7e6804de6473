"""Reads YAML nodes against the types of the options, keeping places."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import yaml
from msgspec import Struct, inspect

from mustardhold.systems.value_formats import (
    find_address_error,
    find_name_error,
    parse_duration,
)
from mustardhold.tables.field_types import (
    ADDRESS_FORMAT,
    FORMAT_KEY,
    NAME_FORMAT,
)
from mustardhold.tables.findings import KeyFinding, SourceLocation
from mustardhold.tables.outcomes import Ok

TAG_PREFIX = 'tag:yaml.org,2002:'
INTEGER = re.compile('-?[0-9]{1,15}', re.ASCII)
WORD_BY_TAG = {
    'str': 'a text',
    'int': 'a number',
    'float': 'a number',
    'bool': 'true or false',
    'null': 'nothing',
    'seq': 'a list',
    'map': 'a mapping',
    'timestamp': 'a date',
}
FAULT_FINDERS: dict[str, Callable[[str], str]] = {
    ADDRESS_FORMAT: find_address_error,
    NAME_FORMAT: find_name_error,
}


@dataclass(slots=True)
class Reading:
    """What has been read of a file.

    Attributes
    ----------
    marks_by_key
        Place of each key's value.
    """

    findings: list[KeyFinding] = field(default_factory=list)
    marks_by_key: dict[str, SourceLocation] = field(default_factory=dict)


ScalarReader = Callable[[Reading, str, yaml.ScalarNode, object], Any]


def mark_of(node: yaml.Node) -> SourceLocation:
    """Find where a node starts."""
    return SourceLocation(node.start_mark.line + 1, node.start_mark.column + 1)


def kind_of(node: yaml.Node) -> str:
    """Name the type of a node, such as ``str`` or ``seq``."""
    tag: str = node.tag
    return tag.removeprefix(TAG_PREFIX)


def report(
    reading: Reading, key: str, message: str, mark: SourceLocation | None = None
) -> None:
    """Note a finding."""
    reading.findings.append(KeyFinding(key, message, mark))


def report_type(
    reading: Reading, key: str, node: yaml.Node, wanted: str
) -> None:
    """Note that a value has the wrong type."""
    kind = kind_of(node)
    is_quotable = isinstance(node, yaml.ScalarNode) and kind != 'null'
    hint = '; quote it' if wanted == 'a text' and is_quotable else ''
    found = WORD_BY_TAG.get(kind, f'a value of type {kind}')
    report(reading, key, f'must be {wanted}, not {found}{hint}')


def read_node(
    reading: Reading, key: str, node: yaml.Node, kind: inspect.Type
) -> Any:
    """Read a node as a type; findings are noted, the value is then void."""
    reading.marks_by_key.setdefault(key, mark_of(node))
    form = ''
    if isinstance(kind, inspect.Metadata):
        form = (kind.extra or {}).get(FORMAT_KEY, '')
        kind = kind.type
    if isinstance(kind, inspect.UnionType):
        if kind_of(node) == 'null':
            return None
        kind = next(
            one for one in kind.types if not isinstance(one, inspect.NoneType)
        )
        return read_node(reading, key, node, kind)
    if isinstance(kind, inspect.StructType):
        return read_mapping(reading, key, node, kind)
    if isinstance(kind, inspect.VarTupleType):
        return read_sequence(reading, key, node, kind.item_type)
    return read_scalar(reading, key, node, kind, form)


def read_mapping(
    reading: Reading, key: str, node: yaml.Node, kind: inspect.StructType
) -> dict[str, Any]:
    """Read a mapping with the fields of a struct."""
    values: dict[str, Any] = {}
    if not isinstance(node, yaml.MappingNode):
        report_type(reading, key, node, 'a mapping')
        return values
    fields_by_name = {one.encode_name: one for one in kind.fields}
    for name_node, value_node in node.value:
        name = name_of(name_node)
        path = f'{key}.{name}' if key else name
        field_found = fields_by_name.get(name)
        if name in values:
            report(reading, path, 'is given twice', mark_of(name_node))
        elif field_found is None:
            known = ', '.join(fields_by_name)
            message = f'is not a setting; known are {known}'
            report(reading, path, message, mark_of(name_node))
        else:
            values[name] = read_node(
                reading, path, value_node, field_found.type
            )
    report_missing(reading, key, kind, values)
    return values


def name_of(node: yaml.Node) -> str:
    """Read the name of a key; one that is no text is shown as it stands."""
    return node.value if isinstance(node, yaml.ScalarNode) else '(not a name)'


def report_missing(
    reading: Reading, key: str, kind: inspect.StructType, values: dict[str, Any]
) -> None:
    """Note each required field that a mapping lacks."""
    for one in kind.fields:
        if one.required and one.encode_name not in values:
            path = f'{key}.{one.encode_name}' if key else one.encode_name
            report(reading, path, 'is missing', reading.marks_by_key[key])


def read_sequence(
    reading: Reading, key: str, node: yaml.Node, kind: inspect.Type
) -> list[Any]:
    """Read a list of values of one type."""
    if not isinstance(node, yaml.SequenceNode):
        report_type(reading, key, node, 'a list')
        return []
    return [
        read_node(reading, f'{key}[{index}]', one, kind)
        for index, one in enumerate(node.value)
    ]


def read_scalar(
    reading: Reading, key: str, node: yaml.Node, kind: inspect.Type, form: str
) -> Any:
    """Read a single value."""
    if not isinstance(node, yaml.ScalarNode):
        report_type(reading, key, node, WANTED.get(type(kind), 'one value'))
        return None
    reader: ScalarReader = SCALAR_READERS.get(type(kind), read_choice)
    return reader(reading, key, node, form or kind)


def read_text(
    reading: Reading, key: str, node: yaml.ScalarNode, form: object
) -> str:
    """Read a text of a form."""
    text: str = node.value
    if kind_of(node) != 'str':
        report_type(reading, key, node, 'a text')
        return text
    find_fault = FAULT_FINDERS.get(form) if isinstance(form, str) else None
    fault = find_fault(text) if find_fault else ''
    if fault:
        report(reading, key, fault)
    return text


def read_integer(
    reading: Reading, key: str, node: yaml.ScalarNode, _: object
) -> int:
    """Read a decimal number."""
    if kind_of(node) != 'int' or INTEGER.fullmatch(node.value) is None:
        report_type(reading, key, node, 'a decimal number')
        return 0
    return int(node.value)


def read_flag(
    reading: Reading, key: str, node: yaml.ScalarNode, _: object
) -> bool:
    """Read true or false."""
    if kind_of(node) != 'bool':
        report_type(reading, key, node, 'true or false')
    return str(node.value).lower() in {'true', 'yes', 'on'}


def read_duration(
    reading: Reading, key: str, node: yaml.ScalarNode, _: object
) -> Any:
    """Read a duration with its unit."""
    parsed = parse_duration(node.value)
    if isinstance(parsed, Ok):
        return parsed.value
    report(reading, key, parsed.error)
    return None


def read_choice(
    reading: Reading, key: str, node: yaml.ScalarNode, kind: object
) -> Any:
    """Read one of a closed set of texts."""
    assert isinstance(kind, inspect.EnumType)
    choices = [str(one.value) for one in kind.cls]
    if node.value not in choices:
        report(reading, key, f'must be one of {", ".join(choices)}')
    return node.value


SCALAR_READERS: dict[type[inspect.Type], ScalarReader] = {
    inspect.StrType: read_text,
    inspect.IntType: read_integer,
    inspect.BoolType: read_flag,
    inspect.TimeDeltaType: read_duration,
}
WANTED: dict[type[inspect.Type], str] = {
    inspect.StrType: 'a text',
    inspect.IntType: 'a decimal number',
    inspect.BoolType: 'true or false',
    inspect.TimeDeltaType: 'a duration',
}


def read_tree(reading: Reading, node: yaml.Node, kind: type[Struct]) -> Any:
    """Read a whole document as an options type."""
    return read_node(reading, '', node, inspect.type_info(kind))
