"""The balancer on the platform."""

import functools
from http import HTTPStatus
from logging import Logger

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.http_app import (
    HandlerRequest,
    HandlersByPath,
    Reply,
    refuse,
)
from mustardhold.daemons.token_balancer import (
    Codecs,
    TokenBalancer,
    make_token_balancer,
    run_token_balancer,
)
from mustardhold.platform.configurations import read_configuration
from mustardhold.platform.packets import make_packet_codec
from mustardhold.platform.settings import NodeSettings, read_balancer_options
from mustardhold.platform.starting import follow_settings, run_program
from mustardhold.systems.token_forwarding import is_ready

EMPTY = b'{}'


async def show_readiness(balancer: TokenBalancer, _: HandlerRequest) -> Reply:
    """Tell the fabric whether to send packets here."""
    if is_ready(balancer.tables):
        return Reply(HTTPStatus.OK, EMPTY)
    return refuse('', 'not ready', HTTPStatus.SERVICE_UNAVAILABLE)


def make_pages(balancer: TokenBalancer) -> HandlersByPath:
    """Make the pages that the fabric calls."""
    return {
        ('GET', '/api/readiness'): functools.partial(show_readiness, balancer)
    }


async def run_balancer(settings: NodeSettings, log: Logger) -> None:
    """Run a balancer."""
    options = read_balancer_options(settings)
    codecs = Codecs(make_packet_codec(options.data_address), read_configuration)
    balancer = make_token_balancer(options, codecs, SystemClock(), log)
    await run_token_balancer(
        balancer,
        make_pages(balancer),
        functools.partial(
            follow_settings,
            settings,
            log,
            balancer.feed_client.known_addresses.update,
        ),
    )


def run() -> int:
    """Run the program until it is stopped; return its exit code."""
    return run_program('balancer', run_balancer)
