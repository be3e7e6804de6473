"""Results that may be errors, as values."""

from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

Good_co = TypeVar('Good_co', covariant=True)
Bad_co = TypeVar('Bad_co', covariant=True)


@dataclass(frozen=True, slots=True)
class Ok(Generic[Good_co]):
    """A result."""

    value: Good_co


@dataclass(frozen=True, slots=True)
class Err(Generic[Bad_co]):
    """The reason why there is no result."""

    error: Bad_co


Outcome: TypeAlias = Ok[Good_co] | Err[Bad_co]
