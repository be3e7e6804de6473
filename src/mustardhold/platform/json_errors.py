"""Errors of JSON documents, all of them and with their locations."""

import json
import re
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Final, get_args, get_origin

import msgspec

from mustardhold.tables.routing import Finding

MAX_NESTING: Final = 100
"""Levels of arrays and objects; far below what any process can decode."""
STRING_PATTERN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
BRACKETS = b'[]{}'
AS_ARRAYS = bytes.maketrans(b'{}', b'[]')
NOT_BRACKETS = bytes(set(range(256)).difference(BRACKETS))
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)

Pair = tuple[str, Any]


def locate_error(parent: str, error: Exception) -> Finding:
    """Return a decoding error as a finding, placed below a parent."""
    if isinstance(error, RecursionError):
        return Finding(parent, 'is nested too deeply')
    message, _, place = str(error).partition(' - at `$')
    if parent:
        # The position would be relative to the part, not to the document.
        message = message.partition(' (byte ')[0]
    return Finding((parent + place.strip('`')).lstrip('.'), message)


def find_type_errors(
    place: str, part_type: Any, raw: bytes | msgspec.Raw
) -> Iterator[Finding]:
    """Find the errors of all fields and entries of a malformed part.

    The decoder of the whole stops at the first error, but an operator wants
    to see all of them.
    """
    is_object = isinstance(part_type, type) and issubclass(
        part_type, msgspec.Struct
    )
    is_array = get_origin(part_type) is tuple
    shape: Any = part_type
    if is_object:
        shape = dict[str, msgspec.Raw]
    elif is_array:
        shape = tuple[msgspec.Raw, ...]
    try:
        parts = msgspec.json.decode(raw, type=shape)
    except DECODE_ERRORS as error:
        yield locate_error(place, error)
        return
    if is_object:
        yield from find_field_errors(place, part_type, parts)
    elif is_array:
        for number, part in enumerate(parts):
            yield from find_type_errors(
                f'{place}[{number}]', get_args(part_type)[0], part
            )


def find_field_errors(
    place: str, part_type: Any, parts: dict[str, msgspec.Raw]
) -> Iterator[Finding]:
    """Find the errors of each field of an object."""
    for field in msgspec.structs.fields(part_type):
        part = parts.get(field.name)
        if part is not None:
            yield from find_type_errors(
                join_place(place, field.name), field.type, part
            )
        elif field.required:
            yield Finding(
                place, f'Object missing required field `{field.name}`'
            )


def join_place(place: str, key: str) -> str:
    """Return the location of a key of an object."""
    return f'{place}.{key}' if place else key


def is_nested_too_deeply(raw: bytes) -> bool:
    """Return whether valid JSON has more than ``MAX_NESTING`` levels.

    How deep a decoder gets depends on the frames of its caller as well, so what
    one process has just decoded another one might not.
    """
    text = STRING_PATTERN.sub(b'', raw)
    brackets = text.translate(AS_ARRAYS, NOT_BRACKETS)
    for _ in range(MAX_NESTING):
        # Each pass removes the innermost level everywhere.
        brackets = brackets.replace(b'[]', b'')
        if not brackets:
            return False
    return True


def find_duplicate_keys(raw: bytes) -> tuple[Finding, ...]:
    """Find duplicate keys in an object, since either value may be meant."""
    repeats: list[int] = []

    def count_repeats(pairs: list[Pair]) -> None:
        if len(dict(pairs)) < len(pairs):
            repeats.append(len(pairs))

    try:
        load_pairs(raw, count_repeats)
    except RecursionError:
        return (Finding('body', 'is nested too deeply'),)
    except ValueError as error:
        return (Finding('body', str(error)),)
    # A second pass only where it is needed: it holds the whole document.
    return tuple(locate_repeats(load_pairs(raw, tuple))) if repeats else ()


def load_pairs(raw: bytes, hook: Callable[[list[Pair]], Any]) -> Any:
    """Decode JSON without its numbers; each object is given by the hook.

    Numbers stay strings: they are not used here, and parsing an integer of
    thousands of digits would fail.
    """
    return json.loads(raw, object_pairs_hook=hook, parse_int=str)


def locate_repeats(document: Any) -> Iterator[Finding]:
    """Yield a finding for each duplicate key; objects are tuples of pairs."""
    waiting = [('', document)]
    while waiting:
        place, part = waiting.pop()
        if isinstance(part, list):
            waiting.extend(
                (f'{place}[{number}]', entry)
                for number, entry in enumerate(part)
            )
        elif isinstance(part, tuple):
            yield from find_repeats(place, part)
            waiting.extend((join_place(place, key), one) for key, one in part)


def find_repeats(place: str, pairs: tuple[Pair, ...]) -> Iterator[Finding]:
    """Yield a finding for each duplicate key of one object."""
    for key, count in Counter(key for key, _ in pairs).items():
        if count > 1:
            yield Finding(join_place(place, key), 'occurs twice in one object')
