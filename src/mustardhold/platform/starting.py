"""Startup and settings reload of both platform programs."""

import signal
import sys
from collections.abc import Awaitable, Callable
from logging import Logger

import trio

from mustardhold.adapters.logs import start_logs
from mustardhold.platform.exit_codes import EXIT_OK, EXIT_USAGE
from mustardhold.platform.settings import (
    NodeSettings,
    load_settings,
)
from mustardhold.tables.outcomes import Err

SETTINGS_CHECK_SECONDS = 1.0


def run_program(
    name: str, run: Callable[[NodeSettings, Logger], Awaitable[None]]
) -> int:
    """Read the settings and run a program until it is stopped.

    Returns
    -------
    int
        The exit code: 0 after a normal stop, 2 if the settings cannot be
        read.
    """
    loaded = load_settings()
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.error}\n')
        return EXIT_USAGE
    settings = loaded.value
    log = start_logs(name, settings.node_name or settings.ip_address)
    trio.run(run, settings, log)
    return EXIT_OK


async def watch_settings(
    settings: NodeSettings,
    log: Logger,
    on_changed: Callable[[NodeSettings], None],
) -> None:
    """Reload the settings on SIGHUP and at a fixed interval.

    Parameters
    ----------
    on_changed
        Called with the changed settings.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with trio.move_on_after(SETTINGS_CHECK_SECONDS):
                await anext(aiter(signals))
            loaded = load_settings()
            if isinstance(loaded, Err):
                log.error(
                    'cannot read settings, using the previous ones',
                    extra={'error': loaded.error},
                )
            elif loaded.value != settings:
                settings = loaded.value
                on_changed(settings)
                log.info('settings reloaded', extra={'seeds': settings.seeds})
