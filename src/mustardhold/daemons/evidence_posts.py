"""Posts what a balancer saw of bad answers to the collector of each service."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    send_request,
)
from mustardhold.systems.answer_counts import reset_outcomes, take_evidence
from mustardhold.systems.answer_tracking import check_due
from mustardhold.systems.feed_tree import rendezvous_rank
from mustardhold.tables.answer_tracking import AnswerTracking
from mustardhold.tables.constants import (
    ANSWER_CHECK_INTERVAL,
    EVIDENCE_FAILURE_PERIOD,
    EVIDENCE_INTERVAL,
    EVIDENCE_MAX_PAUSE,
    EVIDENCE_TIMEOUT,
    EVIDENCE_TRIES,
)
from mustardhold.tables.outcomes import Err
from mustardhold.tables.server_evidence import (
    EVIDENCE_PATH,
    EvidencePost,
    EvidenceReply,
)

MILLISECONDS = 1000
LONGEST_POST_SECONDS = EVIDENCE_TRIES * EVIDENCE_TIMEOUT.total_seconds()

_reply_decoder = msgspec.json.Decoder(EvidenceReply)


@dataclass(slots=True)
class EvidencePoster:
    """State of the posts of a balancer.

    Attributes
    ----------
    reporter
        Name of the balancer.
    addresses
        Returns the internal addresses of all known control instances.
    failed_at_by_address
        When a control instance last failed; local clock, in seconds.
    next_at_by_service
        When the next post for a service may be sent.
    taken_at
        When evidence was last taken; local clock, in seconds. Infinite before
        the first time.
    """

    reporter: str
    tracking: AnswerTracking
    addresses: Callable[[], Iterable[str]]
    clock: Clock
    http_client: HttpClient
    counters: Counter[tuple[str, str]]
    failed_at_by_address: dict[str, float] = field(default_factory=dict)
    next_at_by_service: dict[str, float] = field(default_factory=dict)
    taken_at: float = float('inf')


async def check_answers_periodically(
    tracking: AnswerTracking, clock: Clock
) -> None:
    """Count late answers at a fixed interval."""
    while True:
        await trio.sleep(ANSWER_CHECK_INTERVAL.total_seconds())
        check_due(tracking, clock.monotonic())


async def post_evidence_periodically(poster: EvidencePoster) -> None:
    """Post new evidence at a fixed interval, if anything is bad.

    The services have different collectors, so one that does not respond must
    not delay the others.
    """
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(EVIDENCE_INTERVAL.total_seconds())
            for post in take_due(poster):
                nursery.start_soon(post_evidence, poster, post)


def take_due(poster: EvidencePoster) -> list[EvidencePost]:
    """Take the evidence of the services that may be posted now.

    No other post of a service is sent while one may be in progress.
    """
    now = poster.clock.monotonic()
    if now - poster.taken_at > EVIDENCE_MAX_PAUSE.total_seconds():
        drop_bad_evidence(poster, now)
    poster.taken_at = now
    due: list[EvidencePost] = []
    for name, service in poster.tracking.services_by_name.items():
        if now >= poster.next_at_by_service.get(name, now):
            post = take_evidence(service, now, poster.reporter)
            if post is not None:
                due.append(post)
                poster.next_at_by_service[name] = now + LONGEST_POST_SECONDS
    return due


def drop_bad_evidence(poster: EvidencePoster, now: float) -> None:
    """Drop what was seen before the process was suspended.

    A collector dates evidence by its arrival, so servers that have recovered
    would become suspect.
    """
    for service in poster.tracking.services_by_name.values():
        if service.has_bad:
            reset_outcomes(service, now)
            poster.counters['evidence', 'lost'] += 1


async def post_evidence(poster: EvidencePoster, post: EvidencePost) -> None:
    """Send a post to the first collector that accepts it.

    Evidence is dropped if none does: it would be outdated by the next try. The
    same holds if the process was suspended since the first try.
    """
    body = msgspec.json.encode(post)
    expires_at = poster.clock.monotonic() + LONGEST_POST_SECONDS
    for address in rank_collectors(poster, post.service):
        if poster.clock.monotonic() > expires_at:
            break
        request = HttpRequest('POST', address, EVIDENCE_PATH, body)
        response = await send_request(
            poster.http_client, request, EVIDENCE_TIMEOUT.total_seconds()
        )
        now = poster.clock.monotonic()
        if not isinstance(response, Err) and response.value.is_success:
            poster.failed_at_by_address.pop(address, None)
            poster.counters['evidence', 'posted'] += 1
            poster.next_at_by_service[post.service] = now + read_pause(
                response.value.body
            )
            return
        poster.failed_at_by_address[address] = now
        poster.counters['evidence', 'post-failed'] += 1
    poster.counters['evidence', 'lost'] += 1
    poster.next_at_by_service.pop(post.service, None)


def rank_collectors(poster: EvidencePoster, service: str) -> list[str]:
    """Return the addresses to post to, those that failed lately last.

    All balancers rank them alike, so evidence on a service meets at one of
    them.
    """
    failed_after = (
        poster.clock.monotonic() - EVIDENCE_FAILURE_PERIOD.total_seconds()
    )
    poster.failed_at_by_address = {
        address: failed_at
        for address, failed_at in poster.failed_at_by_address.items()
        if failed_at > failed_after
    }
    ranked = sorted(
        poster.addresses(),
        key=lambda address: (
            address in poster.failed_at_by_address,
            rendezvous_rank(service, address),
        ),
    )
    return ranked[:EVIDENCE_TRIES]


def read_pause(body: bytes) -> float:
    """Return the pause that a collector asks for, in seconds."""
    try:
        pause_ms = _reply_decoder.decode(body).pause_ms
    except msgspec.DecodeError:
        return 0
    longest = EVIDENCE_MAX_PAUSE.total_seconds()
    return min(max(pause_ms / MILLISECONDS, 0), longest)
