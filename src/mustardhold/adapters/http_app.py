"""A small ASGI application: typed handlers by method and path."""

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
    """An HTTP request, read whole.

    Attributes
    ----------
    name
        The part of the path for which the handler's path has ``*``.
    """

    query: Mapping[str, str]
    body: bytes
    name: str = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response."""

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_TYPE


Handler = Callable[[HandlerRequest], Awaitable[Reply]]
HandlersByPath = Mapping[tuple[str, str], Handler]
ErrorCallback = Callable[[Exception], None]
Application = Callable[[Any, Any, Any], Awaitable[None]]


def json_reply(value: object, status: HTTPStatus = HTTPStatus.OK) -> Reply:
    """Answer with a value as JSON."""
    return Reply(status, msgspec.json.encode(value))


def refuse(place: str, message: str, status: HTTPStatus) -> Reply:
    """Answer with one finding."""
    return json_reply(Refused((Finding(place, message),)), status)


def refuse_all(findings: tuple[Finding, ...]) -> Reply:
    """Answer with every finding of a body."""
    return json_reply(Refused(findings), HTTPStatus.BAD_REQUEST)


def ignore_error(_: Exception) -> None:
    """Report a handler's fault nowhere."""


def make_app(
    handlers: HandlersByPath,
    max_bytes_by_path: Mapping[str, int] = NO_LIMIT_OVERRIDES,
    on_error: ErrorCallback = ignore_error,
) -> Application:
    """Make the ASGI application that serves some handlers.

    Parameters
    ----------
    max_bytes_by_path
        Limits of a body, for pages that differ from ``MAX_BODY_BYTES``.
    on_error
        Learns of exceptions that a handler should not have raised.
    """

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope['type'] == 'lifespan':
            await answer_lifespan(receive, send)
        elif scope['type'] == 'http':
            try:
                path = scope['path']
                limit = max_bytes_by_path.get(path, MAX_BODY_BYTES)
                reply = await answer(handlers, scope, receive, limit)
            except Exception as error:  # one request never ends the server
                on_error(error)
                reply = refuse('', 'internal fault', INTERNAL_ERROR)
            await send_reply(reply, send)

    return app


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Answer the server's start and stop events."""
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return


async def answer(
    handlers: HandlersByPath, scope: Any, receive: Any, max_body_bytes: int
) -> Reply:
    """Read a request and call its handler."""
    page, name = match_path(handlers, scope['path'])
    handler = handlers.get((scope['method'], page))
    if handler is None:
        return refuse_path(handlers, page)
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
    """Find the path under which a page is served.

    Returns
    -------
    tuple
        The path with ``*`` for its part before the last, and that part; or
        the path itself and nothing.
    """
    start, _, end = path.rpartition('/')
    stem, _, name = start.rpartition('/')
    pattern = f'{stem}/*/{end}'
    if any(known == pattern for _, known in handlers):
        return pattern, name
    return path, ''


def refuse_path(handlers: HandlersByPath, path: str) -> Reply:
    """Answer a request for which there is no handler."""
    methods = [method for method, known in handlers if known == path]
    if not methods:
        return refuse('path', 'no such page', HTTPStatus.NOT_FOUND)
    message = f'must be one of {", ".join(methods)}'
    return refuse('method', message, HTTPStatus.METHOD_NOT_ALLOWED)


async def read_body(receive: Any, max_body_bytes: int) -> bytes | None:
    """Read a request's body, or nothing where it is too large."""
    body = bytearray()
    while True:
        event = await receive()
        body += event.get('body', b'')
        if len(body) > max_body_bytes:
            return None
        if not event.get('more_body', False):
            return bytes(body)


async def send_reply(reply: Reply, send: Any) -> None:
    """Send a response."""
    headers = [
        (b'content-type', reply.content_type.encode('latin-1')),
        (b'content-length', str(len(reply.body)).encode('latin-1')),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': reply.status.value,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': reply.body})
