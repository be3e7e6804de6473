"""Keeps the suspicions that a process knows, its own and those of others.

Every process has the union. A suspicion is passed on with its remaining time,
measured from the earliest moment at which the sender may have sent it, so it
never lasts longer elsewhere, and one that comes back extends nothing.
"""

from collections.abc import Iterable, Iterator

from mustardhold.tables.suspicions import Suspect, Suspicion, Suspicions

MAX_SUSPECTS = 20_000
# Callers notice failures for as long as a healthy server stays unused, so no
# suspicion lasts longer without new evidence.
MAX_SUSPICION_SECONDS = 10.0
# Processes date a suspicion a little differently. Only more than this is a
# change that has to be passed on.
SAME_END_SECONDS = 0.25
MILLISECONDS = 1000


def suspect_until(
    suspicions: Suspicions, now: float, token: int, until: float
) -> bool:
    """Suspect a server until a time, unless that is known already.

    Returns
    -------
    bool
        Whether the suspicion is new or lasts longer than before.
    """
    until = min(until, now + MAX_SUSPICION_SECONDS)
    known = suspicions.by_token.get(token)
    known_until = now if known is None else max(known.until, now)
    if until - known_until <= SAME_END_SECONDS:
        return False
    forget_ended(suspicions, now)
    if known is None and len(suspicions.by_token) >= MAX_SUSPECTS:
        return False
    suspicions.revision += 1
    # Moves it to the end of the mapping, after earlier changes.
    suspicions.by_token.pop(token, None)
    suspicions.by_token[token] = Suspicion(until, suspicions.revision)
    return True


def merge_suspects(
    suspicions: Suspicions,
    now: float,
    made_at: float,
    suspects: Iterable[Suspect],
) -> None:
    """Merge the suspicions of another process.

    Parameters
    ----------
    made_at
        Earliest time at which that process may have sent them.
    """
    for suspect in suspects:
        until = made_at + suspect.remaining_ms / MILLISECONDS
        suspect_until(suspicions, now, suspect.token, until)


def suspects_after(
    suspicions: Suspicions, now: float, revision: int
) -> Iterator[Suspect]:
    """Yield the suspicions that began or changed after a revision."""
    for token, suspicion in reversed(suspicions.by_token.items()):
        if suspicion.revision <= revision:
            return
        remaining_ms = int((suspicion.until - now) * MILLISECONDS)
        if remaining_ms > 0:
            yield Suspect(token, remaining_ms)


def is_suspect(suspicions: Suspicions, now: float, token: int) -> bool:
    """Return whether a server is suspect."""
    suspicion = suspicions.by_token.get(token)
    return suspicion is not None and now < suspicion.until


def suspect_tokens(suspicions: Suspicions, now: float) -> list[int]:
    """Return the tokens of the suspect servers."""
    return [
        token
        for token, suspicion in suspicions.by_token.items()
        if now < suspicion.until
    ]


def forget_ended(suspicions: Suspicions, now: float) -> None:
    """Remove the suspicions that have ended."""
    for token, suspicion in tuple(suspicions.by_token.items()):
        if now >= suspicion.until:
            suspicions.by_token.pop(token)
