"""Messages of the feed from control instances to balancers and each other."""

import msgspec

from mustardhold.tables.directory import DirectoryRow


class FeedRequest(msgspec.Struct, frozen=True):
    """Requests the changes since a revision; a long poll.

    Attributes
    ----------
    watcher
        Name of the requesting process.
    run_id
        Id of the run of the replying process that ``after`` refers to.
    after
        Revision of that process's directory that the watcher has merged.
    version
        Newest version of the configuration that the watcher knows of.
    """

    watcher: str
    run_id: str = ''
    after: int = 0
    version: int = 0


class FeedReply(msgspec.Struct, frozen=True):
    """Changes of the directory and the version of the configuration.

    Attributes
    ----------
    is_current
        Whether the sender is up to date with the replicated log, and so has
        the latest committed configuration.
    version
        Version of the sender's current configuration.
    controls
        Internal addresses of all control instances that the sender knows.
    """

    run_id: str
    revision: int
    rows: tuple[DirectoryRow, ...]
    is_current: bool
    version: int
    controls: tuple[str, ...]
