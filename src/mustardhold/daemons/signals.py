"""Signals that stop a program, and tasks that run until then."""

import signal
from collections.abc import Callable, Coroutine
from typing import Any

import trio

AsyncTask = Callable[[], Coroutine[Any, Any, None]]
"""Something that runs beside a program until that ends."""


async def stop_on_signal(stopping: trio.Event) -> None:
    """Set the event at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()
            return
