"""A clock whose time is set by tests."""

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

START = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(slots=True)
class FakeClock:
    """A clock that advances only when ``seconds`` is changed."""

    seconds: float = 0

    def monotonic(self) -> float:
        """Return the monotonic time, in seconds."""
        return self.seconds

    def now(self) -> datetime:
        """Return the wall-clock time, in UTC."""
        return START + timedelta(seconds=self.seconds)
