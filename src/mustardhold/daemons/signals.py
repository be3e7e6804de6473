"""Signals that stop a process."""

import signal
from collections.abc import Callable, Coroutine
from typing import Any

import trio

AsyncTask = Callable[[], Coroutine[Any, Any, None]]
"""A task that runs until the process stops."""


async def stop_on_signal(stopping: trio.Event) -> None:
    """Wait for SIGTERM or SIGINT, then set the event."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()
            return
