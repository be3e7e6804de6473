"""Results that may be errors, as values."""

from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

Value_co = TypeVar('Value_co', covariant=True)
Error_co = TypeVar('Error_co', covariant=True)


@dataclass(frozen=True, slots=True)
class Ok(Generic[Value_co]):
    """A result."""

    value: Value_co


@dataclass(frozen=True, slots=True)
class Err(Generic[Error_co]):
    """The reason why there is no result."""

    error: Error_co


Outcome: TypeAlias = Ok[Value_co] | Err[Error_co]
