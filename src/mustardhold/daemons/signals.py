"""Signals that stop a program."""

import signal

import trio


async def stop_on_signal(stopping: trio.Event) -> None:
    """Set the event at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()
            return
