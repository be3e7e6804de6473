"""Files of a data directory, with explicit syncs and an exclusive lock."""

import fcntl
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

LOCK_NAME = 'lock'
FILE_MODE = 0o644


class Disk(Protocol):
    """Operations on the files of a data directory.

    A change is durable only after the sync of its file or of the directory.
    """

    def read(self, name: str) -> bytes | None:
        """Read a whole file; return None if it does not exist."""

    def append(self, name: str, content: bytes) -> None:
        """Append to a file; create it if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Flush the content of a file to disk."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing a file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def sync_folder(self) -> None:
        """Flush the entries of the directory to disk."""


class FolderInUseError(OSError):
    """Another process has locked the data directory."""


@dataclass(slots=True)
class FolderDisk:
    """A data directory in the file system, locked by this process."""

    folder: Path
    lock: int
    descriptors_by_name: dict[str, int] = field(default_factory=dict)

    def read(self, name: str) -> bytes | None:
        """Read a whole file; return None if it does not exist."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, content: bytes) -> None:
        """Append to a file; create it if it does not exist."""
        descriptor = self._descriptor(name)
        rest = memoryview(content)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Flush the content of a file to disk."""
        os.fsync(self._descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing a file of the new name."""
        self._close_cached(new)
        self._close_cached(old)
        (self.folder / old).rename(self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._close_cached(name)
        (self.folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Flush the entries of the directory to disk."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _descriptor(self, name: str) -> int:
        if name not in self.descriptors_by_name:
            self.descriptors_by_name[name] = os.open(
                self.folder / name,
                os.O_RDWR | os.O_APPEND | os.O_CREAT,
                FILE_MODE,
            )
        return self.descriptors_by_name[name]

    def _close_cached(self, name: str) -> None:
        descriptor = self.descriptors_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def open_folder(folder: Path) -> FolderDisk:
    """Create or open a data directory and lock it exclusively.

    The lock is held until ``close_folder`` or the end of the process.

    Raises
    ------
    FolderInUseError
        If another process has locked the directory.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(lock)
        raise FolderInUseError(
            f'{folder} is locked by another process'
        ) from error
    return FolderDisk(folder, lock)


def close_folder(disk: FolderDisk) -> None:
    """Close the files of a data directory and release its lock."""
    for descriptor in disk.descriptors_by_name.values():
        os.close(descriptor)
    disk.descriptors_by_name.clear()
    os.close(disk.lock)


def replace_file(disk: Disk, name: str, content: bytes) -> None:
    """Replace a file atomically and durably by a rename.

    After a crash the file has either the old or the new content.
    """
    temporary = f'{name}.new'
    disk.remove(temporary)
    disk.append(temporary, content)
    disk.sync(temporary)
    disk.rename(temporary, name)
    disk.sync_folder()
