"""A clock that tests set."""

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

START = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(slots=True)
class FakeClock:
    """A clock that stands still until it is moved."""

    seconds: float = 0

    def monotonic(self) -> float:
        """Read seconds that never run backwards."""
        return self.seconds

    def now(self) -> datetime:
        """Read the time of day, in UTC."""
        return START + timedelta(seconds=self.seconds)
