"""Wires the balancer and the control instance to the platform."""

import argparse
import signal
import sys
from collections.abc import Sequence
from logging import Logger

import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.logs import start_logs
from mustardhold.daemons.feed_watch import FeedWatch
from mustardhold.daemons.registry_control import (
    make_control,
    run_registry_control,
)
from mustardhold.daemons.token_balancer import (
    Codecs,
    make_token_balancer,
    run_token_balancer,
)
from mustardhold.platform.configurations import read_configuration
from mustardhold.platform.packets import make_packet_codec
from mustardhold.platform.pages import make_balancer_pages, make_control_pages
from mustardhold.platform.settings import (
    NodeSettings,
    control_addresses,
    load_settings,
    read_balancer_options,
    read_control_options,
    read_growth,
)
from mustardhold.tables.outcomes import Err

EXIT_OK = 0
EXIT_USAGE = 2
SETTINGS_CHECK_SECONDS = 1.0
PROGRAMS = ('balancer', 'control')


def main(argv: Sequence[str] | None = None) -> int:
    """Run a program until it is stopped.

    Returns
    -------
    int
        The exit code: 0 stopped, 2 settings that cannot be read.
    """
    parser = argparse.ArgumentParser(prog='mustardhold.platform')
    parser.add_argument('program', choices=PROGRAMS)
    program = parser.parse_args(argv).program
    loaded = load_settings()
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.error}\n')
        return EXIT_USAGE
    settings = loaded.value
    log = start_logs(program, settings.node_name or settings.ip_address)
    run = run_balancer if program == 'balancer' else run_control
    trio.run(run, settings, log)
    return EXIT_OK


async def run_balancer(settings: NodeSettings, log: Logger) -> None:
    """Run a balancer."""
    options = read_balancer_options(settings)
    codecs = Codecs(make_packet_codec(options.data_address), read_configuration)
    balancer = make_token_balancer(options, codecs, SystemClock(), log)
    await run_token_balancer(
        balancer,
        make_balancer_pages(balancer),
        lambda: follow_settings(balancer.watch, settings),
    )


async def run_control(settings: NodeSettings, log: Logger) -> None:
    """Run a control instance."""
    control = make_control(
        read_control_options(settings),
        read_growth(settings),
        SystemClock(),
        log,
    )
    await run_registry_control(
        control,
        make_control_pages(control),
        settings.bind_addresses.control_plane,
        lambda: follow_settings(control.watch, settings),
    )


async def follow_settings(watch: FeedWatch, settings: NodeSettings) -> None:
    """Take over the control instances that changed settings name."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with trio.move_on_after(SETTINGS_CHECK_SECONDS):
                await anext(aiter(signals))
            loaded = load_settings()
            if isinstance(loaded, Err):
                watch.log.error(
                    'settings unreadable, the earlier ones hold',
                    extra={'error': loaded.error},
                )
            elif loaded.value != settings:
                settings = loaded.value
                watch.contacts.update(control_addresses(settings))
                watch.log.info(
                    'settings reloaded', extra={'seeds': settings.seeds}
                )
