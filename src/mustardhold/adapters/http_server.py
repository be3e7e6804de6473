"""Serves an application over HTTP, on trio."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from mustardhold.adapters.http_app import Application
from mustardhold.tables.constants import HTTP_GRACE


async def serve_http(
    app: Application, address: str, stopping: trio.Event
) -> None:
    """Serve until the event is set, then let open requests finish."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = HTTP_GRACE.total_seconds()
    config.shutdown_timeout = HTTP_GRACE.total_seconds()
    await serve(
        app,
        config,
        shutdown_trigger=stopping.wait,
    )
