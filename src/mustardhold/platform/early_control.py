"""The first stage of the control program, which imports little."""

from mustardhold.daemons.early_feed import EarlyFeed, start_early_feed
from mustardhold.platform.settings import internal_address, load_settings
from mustardhold.tables.outcomes import Err


def start() -> EarlyFeed | None:
    """Serve the feed from disk, if the settings name a data directory.

    Errors in the settings are reported by the next stage.
    """
    loaded = load_settings()
    if isinstance(loaded, Err):
        return None
    settings = loaded.value
    folder = settings.data_directory
    if not folder:
        return None
    address = internal_address(settings, settings.bind_addresses.control_plane)
    return start_early_feed(address, folder)
