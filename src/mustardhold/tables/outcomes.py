"""Result type: a value or an error, returned instead of raising."""

from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

Value_co = TypeVar('Value_co', covariant=True)
Error_co = TypeVar('Error_co', covariant=True)


@dataclass(frozen=True, slots=True)
class Ok(Generic[Value_co]):
    """A successful result."""

    value: Value_co


@dataclass(frozen=True, slots=True)
class Err(Generic[Error_co]):
    """A failure and its reason."""

    error: Error_co


Outcome: TypeAlias = Ok[Value_co] | Err[Error_co]
