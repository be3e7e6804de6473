"""What is wrong with settings files."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A place in a file; line and column count from 1."""

    line: int
    column: int


class SettingsFinding(msgspec.Struct, frozen=True, order=True):
    """One thing that is wrong with a settings file, and where.

    Attributes
    ----------
    key
        Path of the key, such as ``group[0].peer_address``; empty for the
        whole file.
    """

    file: str
    line: int
    column: int
    key: str
    message: str

    def __str__(self) -> str:
        """Format the finding as compilers do."""
        key = f'{self.key}: ' if self.key else ''
        return f'{self.file}:{self.line}:{self.column}: {key}{self.message}'


@dataclass(frozen=True, slots=True)
class KeyFinding:
    """One thing that is wrong with the value of a key.

    Attributes
    ----------
    location
        Place, where it is not that of the key's value.
    """

    key: str
    message: str
    location: SourceLocation | None = None
