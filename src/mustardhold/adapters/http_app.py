"""A minimal ASGI application that dispatches by method and path."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from mustardhold.tables.routing import Finding, Refused

MAX_BODY_BYTES = 262_144
NO_LIMIT_OVERRIDES: Mapping[str, int] = MappingProxyType({})
INTERNAL_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR
JSON_TYPE = 'application/json'


@dataclass(frozen=True, slots=True)
class HandlerRequest:
    """An HTTP request with its complete body.

    Attributes
    ----------
    name
        The path segment that matched ``*`` in the handler's path.
    """

    query: Mapping[str, str]
    body: bytes
    name: str = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response.

    Attributes
    ----------
    encoding
        Content encoding of the body, or empty.
    """

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_TYPE
    encoding: str = ''


Handler = Callable[[HandlerRequest], Awaitable[Reply]]
HandlersByPath = Mapping[tuple[str, str], Handler]
ErrorCallback = Callable[[Exception], None]
Application = Callable[[Any, Any, Any], Awaitable[None]]


def json_reply(value: object, status: HTTPStatus = HTTPStatus.OK) -> Reply:
    """Return a response with a value as JSON."""
    return Reply(status, msgspec.json.encode(value))


def refuse(place: str, message: str, status: HTTPStatus) -> Reply:
    """Return an error response with one finding."""
    return json_reply(Refused((Finding(place, message),)), status)


def refuse_all(findings: tuple[Finding, ...]) -> Reply:
    """Return a 400 response with all findings of a request body."""
    return json_reply(Refused(findings), HTTPStatus.BAD_REQUEST)


def ignore_error(_: Exception) -> None:
    """Ignore an exception of a handler."""


def make_app(
    handlers: HandlersByPath,
    max_bytes_by_path: Mapping[str, int] = NO_LIMIT_OVERRIDES,
    on_error: ErrorCallback = ignore_error,
) -> Application:
    """Return the ASGI application that serves the handlers.

    Parameters
    ----------
    max_bytes_by_path
        Maximum size of a request body, for paths whose limit differs from
        ``MAX_BODY_BYTES``.
    on_error
        Called with each unexpected exception of a handler.
    """

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
        elif scope['type'] == 'http':
            try:
                path = scope['path']
                limit = max_bytes_by_path.get(path, MAX_BODY_BYTES)
                reply = await dispatch(handlers, scope, receive, limit)
            except Exception as error:  # an error must not stop the server
                on_error(error)
                reply = refuse('', 'internal fault', INTERNAL_ERROR)
            await send_reply(reply, send)

    return app


async def handle_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the server's startup and shutdown events."""
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return


async def dispatch(
    handlers: HandlersByPath, scope: Any, receive: Any, max_body_bytes: int
) -> Reply:
    """Read a request and return the response of its handler."""
    pattern, name = match_path(handlers, scope['path'])
    handler = handlers.get((scope['method'], pattern))
    if handler is None:
        return refuse_unmatched(handlers, pattern)
    body = await read_body(receive, max_body_bytes)
    if body is None:
        return refuse(
            'body', 'is too large', HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        )
    query = dict(parse_qsl(scope['query_string'].decode('latin-1')))
    try:
        return await handler(HandlerRequest(query, body, name))
    except (msgspec.DecodeError, RecursionError) as error:
        return refuse('body', str(error), HTTPStatus.BAD_REQUEST)


def match_path(handlers: HandlersByPath, path: str) -> tuple[str, str]:
    """Find the handler path that matches a request path.

    Returns
    -------
    tuple
        If a handler matches with ``*`` as the second-to-last segment: its
        path and that segment. Otherwise the path itself and ``''``.
    """
    start, _, end = path.rpartition('/')
    stem, _, name = start.rpartition('/')
    candidate = f'{stem}/*/{end}'
    if any(known == candidate for _, known in handlers):
        return candidate, name
    return path, ''


def refuse_unmatched(handlers: HandlersByPath, path: str) -> Reply:
    """Return a 404 or 405 response to a request without a handler."""
    methods = [method for method, known in handlers if known == path]
    if not methods:
        return refuse('path', 'no such page', HTTPStatus.NOT_FOUND)
    message = f'must be one of {", ".join(methods)}'
    return refuse('method', message, HTTPStatus.METHOD_NOT_ALLOWED)


async def read_body(receive: Any, max_body_bytes: int) -> bytes | None:
    """Read a request body; return None if it is too large."""
    body = bytearray()
    while True:
        event = await receive()
        body += event.get('body', b'')
        if len(body) > max_body_bytes:
            return None
        if not event.get('more_body', False):
            return bytes(body)


async def send_reply(reply: Reply, send: Any) -> None:
    """Send a response as ASGI events."""
    headers = [
        (b'content-type', reply.content_type.encode('latin-1')),
        (b'content-length', str(len(reply.body)).encode('latin-1')),
    ]
    if reply.encoding:
        headers.append((b'content-encoding', reply.encoding.encode('latin-1')))
    await send(
        {
            'type': 'http.response.start',
            'status': reply.status.value,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': reply.body})
