"""Differences between two configurations, field by field."""

import json
import math
from collections.abc import Iterator, Mapping, Sequence
from enum import StrEnum
from types import MappingProxyType
from typing import Any

import msgspec

from mustardhold.platform.configurations import (
    Findings,
    WireConfiguration,
    WireLimits,
    WireRoute,
    WireService,
    decode,
)
from mustardhold.platform.json_errors import join_place
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

# Known fields are at most four levels deep. What is nested deeper is cut off:
# Python's stack bears few more levels than the decoder accepts.
MAX_LEVELS = 16
CUT_OFF = '...'
MAX_INTEGER_DIGITS = 40
ENTRY_LISTS = ('routes', 'services')


class Change(StrEnum):
    """What differs at a location."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class Difference(msgspec.Struct, frozen=True):
    """One difference of a configuration from the version in force.

    Attributes
    ----------
    place
        Location in the new configuration; the list, for a removed entry.
    name
        The route or service; empty for other fields.
    old, new
        The values; None for one that is absent.
    """

    change: Change
    place: str
    name: str = ''
    old: Any = None
    new: Any = None


class ReadConfiguration(msgspec.Struct, frozen=True):
    """A decoded configuration.

    Attributes
    ----------
    fields
        All fields in the order of the document, also those that are not used
        here.
    """

    wire: WireConfiguration
    fields: dict[str, Any]


def read_fields(raw: bytes) -> Outcome[ReadConfiguration, Findings]:
    """Decode a configuration, with the fields that are not used here."""
    decoded = decode(raw)
    if isinstance(decoded, Err):
        return decoded
    fields = load_fields(raw)
    if fields is None:
        return Err((Finding('', 'has malformed fields that are not used'),))
    return Ok(ReadConfiguration(decoded.value, fields))


def load_fields(raw: bytes) -> dict[str, Any] | None:
    """Return the fields of a JSON object, or None if it is malformed.

    The decoder of the known fields skips others without checking their text.
    """
    try:
        document = json.loads(
            raw, parse_int=read_integer, parse_float=read_float
        )
    except (ValueError, RecursionError):
        return None
    fields: Any = cut_off(document, MAX_LEVELS)
    return fields if isinstance(fields, dict) else None


def read_integer(digits: str) -> int | str:
    """Return an integer; one of very many digits stays text."""
    return digits if len(digits) > MAX_INTEGER_DIGITS else int(digits)


def read_float(text: str) -> float | str:
    """Return a number; one that is too large stays text, as JSON has none."""
    number = float(text)
    return number if math.isfinite(number) else text


def cut_off(document: Any, levels: int) -> Any:
    """Replace what is nested deeper than some levels."""
    if not isinstance(document, dict | list):
        return document
    if not levels:
        return CUT_OFF
    if isinstance(document, list):
        return [cut_off(one, levels - 1) for one in document]
    return {key: cut_off(one, levels - 1) for key, one in document.items()}


def find_differences(
    old: ReadConfiguration, new: ReadConfiguration
) -> Iterator[Difference]:
    """Find the differences of a configuration, in the order of its fields.

    The version is left out; it differs between any two.
    """
    for key in merge_keys(old.fields, new.fields):
        old_part, new_part = old.fields.get(key), new.fields.get(key)
        if key in ENTRY_LISTS:
            yield from compare_entries(key, old_part or (), new_part or ())
        elif key != 'version':
            yield from compare_parts(
                Difference(Change.CHANGED, key),
                with_defaults(key, old_part),
                with_defaults(key, new_part),
            )


def defaults_of(kind: type[msgspec.Struct]) -> dict[str, Any]:
    """Return the defaults of the known fields, as they stand in JSON."""
    return {
        field.name: list(field.default)
        if isinstance(field.default, tuple)
        else field.default
        for field in msgspec.structs.fields(kind)
        if not field.required
    }


DEFAULTS_BY_KEY: Mapping[str, Mapping[str, Any]] = MappingProxyType(
    {
        'routes': defaults_of(WireRoute),
        'services': defaults_of(WireService),
        'limits': defaults_of(WireLimits),
    }
)


def with_defaults(key: str, part: Any) -> Any:
    """Return an object with defaults where known fields are absent.

    A field that is absent in one version and has its default in the other
    does not differ.
    """
    defaults = DEFAULTS_BY_KEY.get(key)
    if defaults is None:
        return part
    fields = part or {}
    # The first mapping gives the order, the last one the values.
    return {**fields, **defaults, **fields}


def merge_keys(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    """Return the keys of both; those of the new mapping come first."""
    return list({**new, **old})


def compare_entries(
    key: str, old: Sequence[Any], new: Sequence[Any]
) -> Iterator[Difference]:
    """Find routes or services that were added, changed or removed."""
    old_by_name = {entry['name']: entry for entry in old}
    for number, entry in enumerate(new):
        name = entry['name']
        place = f'{key}[{number}]'
        known = old_by_name.get(name)
        if known is None:
            yield Difference(Change.ADDED, place, name, new=entry)
        else:
            base = Difference(Change.CHANGED, place, name)
            yield from compare_parts(
                base, with_defaults(key, known), with_defaults(key, entry)
            )
    new_names = {entry['name'] for entry in new}
    for name, entry in old_by_name.items():
        if name not in new_names:
            yield Difference(Change.REMOVED, key, name, old=entry)


def compare_parts(base: Difference, old: Any, new: Any) -> Iterator[Difference]:
    """Find the fields that differ below the location of ``base``."""
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in merge_keys(old, new):
            place = join_place(base.place, key)
            below = msgspec.structs.replace(base, place=place)
            yield from compare_parts(below, old.get(key), new.get(key))
    elif is_list_of_objects(old, new):
        for number, (old_one, new_one) in enumerate(zip(old, new, strict=True)):
            place = f'{base.place}[{number}]'
            below = msgspec.structs.replace(base, place=place)
            yield from compare_parts(below, old_one, new_one)
    else:
        yield msgspec.structs.replace(base, old=old, new=new)


def is_list_of_objects(old: Any, new: Any) -> bool:
    """Return whether both are lists of as many objects."""
    if not isinstance(old, list) or not isinstance(new, list):
        return False
    return len(old) == len(new) and all(
        isinstance(one, dict) for one in (*old, *new)
    )
