"""Decoding of JSON bodies; each finding has the path of its key."""

from typing import Any, TypeVar

import msgspec

from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

Body = TypeVar('Body', bound=msgspec.Struct)
Findings = tuple[Finding, ...]


def read_json(raw: bytes, kind: type[Body]) -> Outcome[Body, Findings]:
    """Decode a JSON object as a struct.

    Returns
    -------
    Outcome
        The struct, or all findings.
    """
    try:
        return Ok(msgspec.json.decode(raw, type=kind))
    except RecursionError:
        return Err((Finding('', 'is nested too deeply'),))
    except msgspec.ValidationError as error:
        first = Finding('', str(error))
    except msgspec.DecodeError as error:
        return Err((Finding('', f'is not JSON: {error}'),))
    try:
        tree = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError):
        return Err((first,))
    return Err(tuple(find_field_errors(tree, kind, '')) or (first,))


def find_field_errors(tree: Any, kind: type[Any], path: str) -> list[Finding]:
    """Find unknown, missing and invalid fields of an object."""
    if not isinstance(tree, dict):
        return [Finding(path, 'must be an object')]
    findings: list[Finding] = []
    fields_by_name = {
        one.encode_name: one for one in msgspec.structs.fields(kind)
    }
    for name, value in tree.items():
        place = f'{path}.{name}' if path else name
        known = fields_by_name.get(name)
        if known is None:
            findings.append(Finding(place, 'is not a known key'))
        else:
            findings.extend(find_value_errors(value, known.type, place))
    findings.extend(
        Finding(f'{path}.{name}' if path else name, 'is missing')
        for name, one in fields_by_name.items()
        if one.required and name not in tree
    )
    return findings


def find_value_errors(value: Any, kind: Any, place: str) -> list[Finding]:
    """Find the errors in the value of a field."""
    inner = struct_of(kind)
    if inner is not None and isinstance(value, dict):
        return find_field_errors(value, inner, place)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        message, _, rest = str(error).partition(' - at `$')
        return [Finding(f'{place}{rest.rstrip("`")}', message)]
    return []


def struct_of(kind: Any) -> type[msgspec.Struct] | None:
    """Return the struct in a type such as ``Struct | None``."""
    choices = getattr(kind, '__args__', (kind,))
    for one in choices:
        if isinstance(one, type) and issubclass(one, msgspec.Struct):
            return one
    return None
