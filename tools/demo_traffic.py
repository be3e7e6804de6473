"""Callers of the demo, and what they see."""

import random
from collections import Counter
from dataclasses import dataclass, field

import trio

from standins import caller
from tools.processes import LOOPBACK
from tools.running_deployment import RunningDeployment

PAUSE_SECONDS = 0.05
REQUEST_SECONDS = 6.0
TRIES = 5
RETRY_SECONDS = 0.3


@dataclass(slots=True)
class Session:
    """One flow, and what its caller saw.

    Attributes
    ----------
    wave
        Sessions of the first wave began before the pool was edited.
    seed
        Of the request ids and pauses; each session has its own.
    not_run
        Ids of requests that were answered as not run, and sent anew.
    idempotent_ids
        Requests that a balancer may run again within their deadline.
    unanswered
        Requests and flows that came to nothing.
    """

    service: str
    wave: int
    seed: str
    backend_ids: set[str] = field(default_factory=set)
    outcomes: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    idempotent_ids: set[str] = field(default_factory=set)
    wrong_answers: int = 0
    unanswered: int = 0
    is_broken: bool = False


@dataclass(slots=True)
class Traffic:
    """All sessions of a run.

    Attributes
    ----------
    ending
        Set when the sessions shall end.
    """

    sessions: list[Session] = field(default_factory=list)
    ending: trio.Event = field(default_factory=trio.Event)


async def run_session(
    path: RunningDeployment,
    traffic: Traffic,
    session: Session,
    address: str,
) -> None:
    """Open a flow, and use it until the traffic ends."""
    traffic.sessions.append(session)
    rng = random.Random(session.seed)
    flow = await open_flow(path, session, address)
    if flow is None:
        session.unanswered += 1
        return
    number = 0
    while not traffic.ending.is_set():
        number += 1
        if not await is_answered(flow, session, number, rng):
            session.unanswered += 1
        if not await caller.upload(flow, b'still here', REQUEST_SECONDS):
            session.outcomes['feed silent'] += 1
            session.unanswered += 1
        await trio.sleep(rng.uniform(0.5, 1.5) * PAUSE_SECONDS)
    session.backend_ids = set(flow.backend_ids)
    session.is_broken = flow.ended or len(flow.backend_ids) > 1
    await caller.close(flow)


async def open_flow(
    path: RunningDeployment, session: Session, address: str
) -> caller.Flow | None:
    """Open a flow, again after a refusal."""
    for _ in range(TRIES):
        flow = await caller.connect(
            path.fabric, session.service, address, LOOPBACK
        )
        if flow.backend_ids:
            return flow
        session.outcomes[f'open refused {flow.refused}'] += 1
        flow.sock.close()
        await trio.sleep(RETRY_SECONDS)
    return None


async def is_answered(
    flow: caller.Flow, session: Session, number: int, rng: random.Random
) -> bool:
    """Send a request, again under a new id where it was not run."""
    for _ in range(TRIES):
        outcome = await send_request(flow, session, number, rng)
        if outcome != 'not-run':
            return outcome == 'answered'
        await trio.sleep(RETRY_SECONDS)
    return False


async def send_request(
    flow: caller.Flow, session: Session, number: int, rng: random.Random
) -> str:
    """Send a request, the odd ones non-idempotent, and check its answer."""
    payload = f'{session.service} order {number}'.encode()
    idempotent = number % 2 == 0
    answer = await caller.request(
        flow,
        payload,
        idempotent=idempotent,
        seconds=REQUEST_SECONDS,
        rng=rng,
    )
    session.outcomes[answer.outcome] += 1
    if idempotent:
        session.idempotent_ids.add(answer.request_id)
    if answer.outcome == 'not-run':
        session.not_run.add(answer.request_id)
    expected = b'%s %s' % (session.service.encode(), payload)
    if answer.outcome == 'answered' and answer.body != expected:
        session.wrong_answers += 1
    return answer.outcome
