"""Serves an application over HTTP, on trio."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from mustardhold.adapters.http_app import Application

GRACE_SECONDS = 2


async def serve_http(
    app: Application, address: str, stopping: trio.Event
) -> None:
    """Serve until the event is set, then let open requests finish."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACE_SECONDS
    config.shutdown_timeout = GRACE_SECONDS
    await serve(
        app,
        config,
        shutdown_trigger=stopping.wait,
    )
