"""Copies of the configuration and evacuations in force, for a quick start.

The replicated log remains the truth: reading it takes more of the program than
has been loaded when the first balancers ask after a loss of power.
"""

from typing import TypeVar

import msgspec

from mustardhold.adapters.disk import Disk
from mustardhold.adapters.record_files import (
    read_record_file,
    write_record_file,
)
from mustardhold.adapters.records import DamagedFileError
from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.evacuations import NO_EVACUATIONS, EvacuationState

DOCUMENT_NAME = 'configuration'
EVACUATIONS_NAME = 'evacuations'

Copy = TypeVar('Copy')

_document_decoder = msgspec.msgpack.Decoder(VersionedDocument)
_evacuations_decoder = msgspec.msgpack.Decoder(EvacuationState)


def save_document(disk: Disk, document: VersionedDocument) -> None:
    """Durably replace the copy of the configuration.

    Raises
    ------
    OSError
        If a write fails, for example because the disk is full.
    """
    write_record_file(disk, DOCUMENT_NAME, msgspec.msgpack.encode(document))


def load_document(disk: Disk) -> VersionedDocument:
    """Load the copy; return ``NO_DOCUMENT`` if missing or unreadable."""
    return load_copy(disk, DOCUMENT_NAME, _document_decoder, NO_DOCUMENT)


def save_evacuations(disk: Disk, state: EvacuationState) -> None:
    """Durably replace the copy of the evacuated data centres.

    Raises
    ------
    OSError
        If a write fails, for example because the disk is full.
    """
    write_record_file(disk, EVACUATIONS_NAME, msgspec.msgpack.encode(state))


def load_evacuations(disk: Disk) -> EvacuationState:
    """Load the copy; return ``NO_EVACUATIONS`` if missing or unreadable."""
    return load_copy(
        disk, EVACUATIONS_NAME, _evacuations_decoder, NO_EVACUATIONS
    )


def load_copy(
    disk: Disk,
    name: str,
    decoder: msgspec.msgpack.Decoder[Copy],
    default: Copy,
) -> Copy:
    """Load a copy; return the default if it is missing or unreadable."""
    try:
        body = read_record_file(disk, name)
        return default if body is None else decoder.decode(body)
    except (DamagedFileError, msgspec.DecodeError):
        return default
