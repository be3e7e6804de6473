"""Callers of the demo, and the outcomes that they observe."""

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
    """One flow of a caller, and its observed outcomes.

    Attributes
    ----------
    wave
        Sessions of the first wave began before the pool was edited.
    seed
        Seed of the session's request ids and pauses.
    not_run
        Ids of requests that were reported as not run, then sent again with
        a new id.
    idempotent_ids
        Requests that a balancer may run again within their deadline.
    unanswered
        Requests, uploads and flows that failed.
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
    stopping
        Set when the sessions are to end.
    """

    sessions: list[Session] = field(default_factory=list)
    stopping: trio.Event = field(default_factory=trio.Event)


async def run_session(
    running: RunningDeployment,
    traffic: Traffic,
    session: Session,
    address: str,
) -> None:
    """Open a flow, and send requests and uploads until the traffic stops."""
    traffic.sessions.append(session)
    rng = random.Random(session.seed)
    flow = await open_flow(running, session, address)
    if flow is None:
        session.unanswered += 1
        return
    number = 0
    while not traffic.stopping.is_set():
        number += 1
        if not await send_until_run(flow, session, number, rng):
            session.unanswered += 1
        if not await caller.upload(flow, b'still here', REQUEST_SECONDS):
            session.outcomes['feed silent'] += 1
            session.unanswered += 1
        await trio.sleep(rng.uniform(0.5, 1.5) * PAUSE_SECONDS)
    session.backend_ids = set(flow.backend_ids)
    session.is_broken = flow.ended or len(flow.backend_ids) > 1
    await caller.close(flow)


async def open_flow(
    running: RunningDeployment, session: Session, address: str
) -> caller.Flow | None:
    """Open a flow, retrying after a refusal."""
    for _ in range(TRIES):
        flow = await caller.connect(
            running.fabric, session.service, address, LOOPBACK
        )
        if flow.backend_ids:
            return flow
        session.outcomes[f'open refused {flow.refused}'] += 1
        flow.sock.close()
        await trio.sleep(RETRY_SECONDS)
    return None


async def send_until_run(
    flow: caller.Flow, session: Session, number: int, rng: random.Random
) -> bool:
    """Send a request, again with a new id while it is reported as not run.

    Returns
    -------
    bool
        Whether it was answered.
    """
    for _ in range(TRIES):
        outcome = await send_request(flow, session, number, rng)
        if outcome != 'not-run':
            return outcome == 'answered'
        await trio.sleep(RETRY_SECONDS)
    return False


async def send_request(
    flow: caller.Flow, session: Session, number: int, rng: random.Random
) -> str:
    """Send a request and check its answer; odd numbers are non-idempotent."""
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
