"""Errors found in settings files."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A location in a file; line and column are counted from 1."""

    line: int
    column: int


class SettingsFinding(msgspec.Struct, frozen=True, order=True):
    """An error in a settings file, and its location.

    Attributes
    ----------
    key
        Path of the key, such as ``group[0].peer_address``; empty for an error
        of the whole file.
    """

    file: str
    line: int
    column: int
    key: str
    message: str

    def __str__(self) -> str:
        """Format the finding as ``file:line:column: key: message``."""
        key = f'{self.key}: ' if self.key else ''
        return f'{self.file}:{self.line}:{self.column}: {key}{self.message}'


@dataclass(frozen=True, slots=True)
class KeyFinding:
    """An error in the value of a key.

    Attributes
    ----------
    location
        Location of the error, if it is not that of the key's value.
    """

    key: str
    message: str
    location: SourceLocation | None = None
