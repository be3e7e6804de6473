"""Reading of YAML nodes by the types of the options, with locations."""

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
DECIMAL = re.compile(r'-?[0-9]{1,15}(?:\.[0-9]{1,15})?', re.ASCII)
INTEGER = re.compile('-?[0-9]{1,15}', re.ASCII)
DESCRIPTION_BY_TAG = {
    'str': 'a text',
    'int': 'a number',
    'float': 'a number',
    'bool': 'true or false',
    'null': 'nothing',
    'seq': 'a list',
    'map': 'a mapping',
    'timestamp': 'a date',
}
ERROR_FINDERS: dict[str, Callable[[str], str]] = {
    ADDRESS_FORMAT: find_address_error,
    NAME_FORMAT: find_name_error,
}


@dataclass(slots=True)
class ReadState:
    """Findings and key locations, collected while a file is read.

    Attributes
    ----------
    locations_by_key
        Location of each key's value.
    """

    findings: list[KeyFinding] = field(default_factory=list)
    locations_by_key: dict[str, SourceLocation] = field(default_factory=dict)


ScalarReader = Callable[[ReadState, str, yaml.ScalarNode, object], Any]


def location_of(node: yaml.Node) -> SourceLocation:
    """Return the start of a node."""
    return SourceLocation(node.start_mark.line + 1, node.start_mark.column + 1)


def kind_of(node: yaml.Node) -> str:
    """Return the YAML type of a node, such as ``str`` or ``seq``."""
    tag: str = node.tag
    return tag.removeprefix(TAG_PREFIX)


def report(
    state: ReadState,
    key: str,
    message: str,
    location: SourceLocation | None = None,
) -> None:
    """Record a finding."""
    state.findings.append(KeyFinding(key, message, location))


def report_type(
    state: ReadState, key: str, node: yaml.Node, expected: str
) -> None:
    """Record that a value has the wrong type."""
    kind = kind_of(node)
    is_quotable = isinstance(node, yaml.ScalarNode) and kind != 'null'
    hint = '; quote it' if expected == 'a text' and is_quotable else ''
    found = DESCRIPTION_BY_TAG.get(kind, f'a value of type {kind}')
    report(state, key, f'must be {expected}, not {found}{hint}')


def read_node(
    state: ReadState, key: str, node: yaml.Node, kind: inspect.Type
) -> Any:
    """Read a node as a value of a type.

    After a finding, the returned value is meaningless.
    """
    state.locations_by_key.setdefault(key, location_of(node))
    value_format = ''
    if isinstance(kind, inspect.Metadata):
        value_format = (kind.extra or {}).get(FORMAT_KEY, '')
        kind = kind.type
    if isinstance(kind, inspect.UnionType):
        if kind_of(node) == 'null':
            return None
        kind = next(
            one for one in kind.types if not isinstance(one, inspect.NoneType)
        )
        return read_node(state, key, node, kind)
    if isinstance(kind, inspect.StructType):
        return read_mapping(state, key, node, kind)
    if isinstance(kind, inspect.VarTupleType):
        return read_sequence(state, key, node, kind.item_type)
    return read_scalar(state, key, node, kind, value_format)


def read_mapping(
    state: ReadState, key: str, node: yaml.Node, kind: inspect.StructType
) -> dict[str, Any]:
    """Read a mapping whose keys are the fields of a struct."""
    values: dict[str, Any] = {}
    if not isinstance(node, yaml.MappingNode):
        report_type(state, key, node, 'a mapping')
        return values
    fields_by_name = {one.encode_name: one for one in kind.fields}
    for name_node, value_node in node.value:
        name = name_of(name_node)
        path = f'{key}.{name}' if key else name
        field_found = fields_by_name.get(name)
        if name in values:
            report(state, path, 'is given twice', location_of(name_node))
        elif field_found is None:
            known = ', '.join(fields_by_name)
            message = f'is not a setting; known are {known}'
            report(state, path, message, location_of(name_node))
        else:
            values[name] = read_node(state, path, value_node, field_found.type)
    report_missing(state, key, kind, values)
    return values


def name_of(node: yaml.Node) -> str:
    """Return a key as written, or a placeholder if it is not a scalar."""
    return node.value if isinstance(node, yaml.ScalarNode) else '(not a name)'


def report_missing(
    state: ReadState, key: str, kind: inspect.StructType, values: dict[str, Any]
) -> None:
    """Record each required field that is missing in a mapping."""
    for one in kind.fields:
        if one.required and one.encode_name not in values:
            path = f'{key}.{one.encode_name}' if key else one.encode_name
            report(state, path, 'is missing', state.locations_by_key[key])


def read_sequence(
    state: ReadState, key: str, node: yaml.Node, kind: inspect.Type
) -> list[Any]:
    """Read a list whose items have one type."""
    if not isinstance(node, yaml.SequenceNode):
        report_type(state, key, node, 'a list')
        return []
    return [
        read_node(state, f'{key}[{index}]', one, kind)
        for index, one in enumerate(node.value)
    ]


def read_scalar(
    state: ReadState,
    key: str,
    node: yaml.Node,
    kind: inspect.Type,
    value_format: str,
) -> Any:
    """Read a scalar value."""
    if not isinstance(node, yaml.ScalarNode):
        report_type(
            state, key, node, EXPECTED_BY_TYPE.get(type(kind), 'one value')
        )
        return None
    reader: ScalarReader = SCALAR_READERS.get(type(kind), read_choice)
    return reader(state, key, node, value_format or kind)


def read_text(
    state: ReadState, key: str, node: yaml.ScalarNode, value_format: object
) -> str:
    """Read a string and check its format."""
    text: str = node.value
    if kind_of(node) != 'str':
        report_type(state, key, node, 'a text')
        return text
    find_error = (
        ERROR_FINDERS.get(value_format)
        if isinstance(value_format, str)
        else None
    )
    error_message = find_error(text) if find_error else ''
    if error_message:
        report(state, key, error_message)
    return text


def read_integer(
    state: ReadState, key: str, node: yaml.ScalarNode, _: object
) -> int:
    """Read a decimal integer."""
    if kind_of(node) != 'int' or INTEGER.fullmatch(node.value) is None:
        report_type(state, key, node, 'a decimal number')
        return 0
    return int(node.value)


def read_number(
    state: ReadState, key: str, node: yaml.ScalarNode, _: object
) -> float:
    """Read a decimal number with or without a fraction."""
    if kind_of(node) not in {'int', 'float'}:
        report_type(state, key, node, 'a decimal number')
        return 0
    if DECIMAL.fullmatch(node.value) is None:
        report(state, key, f'{node.value!r} is not a number such as 0.05')
        return 0
    return float(node.value)


def read_flag(
    state: ReadState, key: str, node: yaml.ScalarNode, _: object
) -> bool:
    """Read a Boolean value."""
    if kind_of(node) != 'bool':
        report_type(state, key, node, 'true or false')
    return str(node.value).lower() in {'true', 'yes', 'on'}


def read_duration(
    state: ReadState, key: str, node: yaml.ScalarNode, _: object
) -> Any:
    """Read a duration with a unit."""
    parsed = parse_duration(node.value)
    if isinstance(parsed, Ok):
        return parsed.value
    report(state, key, parsed.error)
    return None


def read_choice(
    state: ReadState, key: str, node: yaml.ScalarNode, kind: object
) -> Any:
    """Read a value of an enumeration."""
    assert isinstance(kind, inspect.EnumType)
    choices = [str(one.value) for one in kind.cls]
    if node.value not in choices:
        report(state, key, f'must be one of {", ".join(choices)}')
    return node.value


SCALAR_READERS: dict[type[inspect.Type], ScalarReader] = {
    inspect.StrType: read_text,
    inspect.IntType: read_integer,
    inspect.FloatType: read_number,
    inspect.BoolType: read_flag,
    inspect.TimeDeltaType: read_duration,
}
EXPECTED_BY_TYPE: dict[type[inspect.Type], str] = {
    inspect.StrType: 'a text',
    inspect.IntType: 'a decimal number',
    inspect.FloatType: 'a decimal number',
    inspect.BoolType: 'true or false',
    inspect.TimeDeltaType: 'a duration',
}


def read_tree(state: ReadState, node: yaml.Node, kind: type[Struct]) -> Any:
    """Read a document as an options type."""
    return read_node(state, '', node, inspect.type_info(kind))
