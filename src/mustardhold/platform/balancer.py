"""The balancer program of the platform."""

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
    make_token_balancer,
    run_token_balancer,
)
from mustardhold.daemons.token_packets import Codecs, TokenBalancer
from mustardhold.platform.configurations import read_configuration
from mustardhold.platform.packets import make_packet_codec
from mustardhold.platform.settings import (
    NodeSettings,
    control_addresses,
    read_balancer_options,
)
from mustardhold.platform.starting import run_program, watch_settings
from mustardhold.systems.token_forwarding import is_ready

EMPTY_JSON = b'{}'


async def show_readiness(balancer: TokenBalancer, _: HandlerRequest) -> Reply:
    """Respond with 200 if the fabric may send packets here, else 503."""
    if is_ready(balancer.tables):
        return Reply(HTTPStatus.OK, EMPTY_JSON)
    return refuse('', 'not ready', HTTPStatus.SERVICE_UNAVAILABLE)


def make_handlers(balancer: TokenBalancer) -> HandlersByPath:
    """Return the HTTP handlers that the fabric calls."""
    return {
        ('GET', '/api/readiness'): functools.partial(show_readiness, balancer)
    }


async def run_balancer(settings: NodeSettings, log: Logger) -> None:
    """Run a balancer with the platform's codecs and settings."""
    options = read_balancer_options(settings)
    codecs = Codecs(make_packet_codec(options.data_address), read_configuration)
    balancer = make_token_balancer(options, codecs, SystemClock(), log)
    await run_token_balancer(
        balancer,
        make_handlers(balancer),
        functools.partial(
            watch_settings,
            settings,
            log,
            lambda changed: balancer.feed_client.known_addresses.update(
                control_addresses(changed)
            ),
        ),
    )


def run() -> int:
    """Run the program until it is stopped; return its exit code."""
    return run_program('balancer', run_balancer)
