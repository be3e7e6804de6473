"""What control instances tell balancers and each other."""

import msgspec

from mustardhold.tables.directory import DirectoryRow


class FeedRequest(msgspec.Struct, frozen=True):
    """Asks for what changed.

    Attributes
    ----------
    watcher
        Name of the asking process.
    run_id
        Run of the asked process that ``after`` belongs to.
    after
        Revision of its directory that the watcher has merged.
    version
        Newest version of the configuration that the watcher has heard of.
    """

    watcher: str
    run_id: str = ''
    after: int = 0
    version: int = 0


class FeedReply(msgspec.Struct, frozen=True):
    """What changed.

    Attributes
    ----------
    is_current
        Whether the sender would know of a configuration that was just
        committed.
    version
        Of the configuration that the sender has in force.
    controls
        Internal addresses of all control instances that it knows.
    """

    run_id: str
    revision: int
    rows: tuple[DirectoryRow, ...]
    is_current: bool
    version: int
    controls: tuple[str, ...]
