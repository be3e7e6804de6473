"""A simulated disk that loses unsynced writes, tears writes and fills up."""

import errno
import random
from dataclasses import dataclass, field


class CrashError(Exception):
    """The process was killed during a disk operation."""


@dataclass(slots=True)
class FakeFile:
    """A file's current content and the content of its last sync."""

    content: bytearray = field(default_factory=bytearray)
    synced: bytes = b''


@dataclass(slots=True)
class FakeDisk:
    """An in-memory data directory with simulated failures.

    Attributes
    ----------
    synced_names
        Files by name, as of the last sync of the directory.
    is_syncing
        Whether syncs have an effect; false for naive versions.
    bytes_left
        Free space; a write that exceeds it is truncated and fails.
    operations_until_crash
        Operations that succeed before the process is killed during one.
    refused
        Names of the operations that fail as on a full disk; an append leaves
        half of what was to be written.
    allowed
        Number of these that succeed before the first one fails.
    error
        Number of the error that they raise.
    """

    rng: random.Random
    files_by_name: dict[str, FakeFile] = field(default_factory=dict)
    synced_names: dict[str, FakeFile] = field(default_factory=dict)
    is_syncing: bool = True
    bytes_left: int | None = None
    operations_until_crash: int | None = None
    refused: frozenset[str] = frozenset()
    allowed: int = 0
    error: int = errno.ENOSPC
    writes: int = 0
    syncs: int = 0

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        file = self.files_by_name.get(name)
        return None if file is None else bytes(file.content)

    def append(self, name: str, content: bytes) -> None:
        """Append to a file; a kill during the write leaves a prefix of it."""
        self.writes += 1
        file = self.files_by_name.setdefault(name, FakeFile())
        try:
            self._operate('append')
        except CrashError:
            file.content += content[: self.rng.randrange(len(content))]
            raise
        except OSError:
            file.content += content[: len(content) // 2]
            raise
        if self.bytes_left is not None:
            bytes_free = max(self.bytes_left, 0)
            self.bytes_left -= len(content)
            if self.bytes_left < 0:
                file.content += content[:bytes_free]
                raise OSError('no space left on device')
        file.content += content

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self._operate('truncate')
        del self.files_by_name[name].content[size:]

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        self._operate('sync')
        self.syncs += 1
        if self.is_syncing:
            file = self.files_by_name[name]
            file.synced = bytes(file.content)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""
        self._operate('rename')
        self.files_by_name[new] = self.files_by_name.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self.files_by_name.pop(name, None)

    def sync_folder(self) -> None:
        """Make file creations and renames durable."""
        self._operate('sync_folder')
        self.syncs += 1
        if self.is_syncing:
            self.synced_names = dict(self.files_by_name)

    def _operate(self, operation: str) -> None:
        if operation in self.refused:
            self.allowed -= 1
            if self.allowed < 0:
                raise OSError(self.error, f'{operation} refused')
        if self.operations_until_crash is None:
            return
        self.operations_until_crash -= 1
        if self.operations_until_crash < 0:
            raise CrashError('killed')


def crash(disk: FakeDisk) -> None:
    """Reset a disk to a state that a crash of the machine can leave.

    Unsynced file names survive or not, at random; of the data appended since
    the last sync, a random prefix survives.
    """
    names = disk.synced_names
    if disk.rng.randrange(2):
        names = {**disk.synced_names, **disk.files_by_name}
    remaining = {name: crashed_file(disk, file) for name, file in names.items()}
    disk.files_by_name = remaining
    disk.synced_names = dict(remaining)
    disk.operations_until_crash = None


def crashed_file(disk: FakeDisk, file: FakeFile) -> FakeFile:
    """Return the synced content with a random prefix of later appends."""
    content = file.synced
    if bytes(file.content).startswith(content):
        tail = bytes(file.content[len(content) :])
        content += tail[: disk.rng.randrange(len(tail) + 1)]
    return FakeFile(bytearray(content), content)


def damage_middle(disk: FakeDisk, name: str) -> None:
    """Flip one bit in the first half of a file."""
    file = disk.files_by_name[name]
    position = disk.rng.randrange(len(file.content) // 2)
    file.content[position] ^= 1 << disk.rng.randrange(8)
    file.synced = bytes(file.content)
