"""Files of one data folder, with explicit syncs and an exclusive lock."""

import fcntl
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

LOCK_NAME = 'lock'
FILE_MODE = 0o644


class Disk(Protocol):
    """What a data folder can do; nothing lasts before its sync."""

    def read(self, name: str) -> bytes | None:
        """Read a file whole, or nothing where there is none."""

    def append(self, name: str, content: bytes) -> None:
        """Write at the end of a file, which is made where there is none."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Wait until a file's content is durable."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of the file that had it."""

    def remove(self, name: str) -> None:
        """Remove a file, where there is one."""

    def sync_folder(self) -> None:
        """Wait until the names of the files are durable."""


class FolderInUseError(OSError):
    """Another process holds the data folder."""


@dataclass(slots=True)
class FolderDisk:
    """A data folder of the machine, locked for this process."""

    folder: Path
    lock: int
    descriptors_by_name: dict[str, int] = field(default_factory=dict)

    def read(self, name: str) -> bytes | None:
        """Read a file whole, or nothing where there is none."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, content: bytes) -> None:
        """Write at the end of a file, which is made where there is none."""
        descriptor = self._descriptor(name)
        rest = memoryview(content)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Wait until a file's content is durable."""
        os.fsync(self._descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of the file that had it."""
        self._forget(new)
        self._forget(old)
        (self.folder / old).rename(self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file, where there is one."""
        self._forget(name)
        (self.folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Wait until the names of the files are durable."""
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

    def _forget(self, name: str) -> None:
        descriptor = self.descriptors_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def open_folder(folder: Path) -> FolderDisk:
    """Open a data folder and lock it for as long as the process lives.

    Raises
    ------
    FolderInUseError
        If another process holds it.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(lock)
        raise FolderInUseError(f'another process holds {folder}') from error
    return FolderDisk(folder, lock)


def close_folder(disk: FolderDisk) -> None:
    """Close the files of a folder and release it."""
    for descriptor in disk.descriptors_by_name.values():
        os.close(descriptor)
    disk.descriptors_by_name.clear()
    os.close(disk.lock)


def replace_file(disk: Disk, name: str, content: bytes) -> None:
    """Replace a file durably: after a crash it is the old or the new one."""
    draft = f'{name}.new'
    disk.remove(draft)
    disk.append(draft, content)
    disk.sync(draft)
    disk.rename(draft, name)
    disk.sync_folder()
