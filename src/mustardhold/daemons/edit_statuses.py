"""HTTP statuses of the outcomes of edits."""

from http import HTTPStatus

from mustardhold.tables.routing import (
    Accepted,
    Conflict,
    EditOutcome,
    Refused,
    RepeatedEdit,
    Unknown,
)


def status_for(outcome: EditOutcome | RepeatedEdit) -> HTTPStatus:
    """Return the HTTP status of an edit's outcome."""
    first = outcome.first if isinstance(outcome, RepeatedEdit) else outcome
    match first:
        case Accepted():
            return HTTPStatus.OK
        case Conflict():
            return HTTPStatus.CONFLICT
        case Refused():
            return HTTPStatus.UNPROCESSABLE_ENTITY
        case Unknown():
            return HTTPStatus.GATEWAY_TIMEOUT
        case _:
            return HTTPStatus.SERVICE_UNAVAILABLE
