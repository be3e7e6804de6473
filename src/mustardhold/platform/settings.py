"""The settings file that the platform writes for each process."""

import os
from datetime import timedelta
from pathlib import Path

import msgspec

from mustardhold.systems.addresses import split_address
from mustardhold.tables.options import (
    ControlOptions,
    GrowthPolicy,
    Replica,
    TokenBalancerOptions,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome

FILE_VARIABLE = 'MUSTARDHOLD_NODE_FILE'
# deploy/system.toml names the same port.
METRICS_PORT = 9464


class BindAddresses(msgspec.Struct, frozen=True):
    """Where a process listens for the outside world."""

    datagram_address: str = ''
    readiness_address: str = ''
    control_plane: str = ''


class FaultTolerance(msgspec.Struct, frozen=True):
    """What may be lost at the same time."""

    machines: int = 0


class NodeSettings(msgspec.Struct, frozen=True):
    """The fields that matter here; others are ignored.

    Attributes
    ----------
    zone
        The instance's data centre.
    internal_port_range
        First and last port that the project's own processes may use.
    seeds
        Public addresses of some control instances.
    bootstrap
        Whether the whole system starts for the first time.
    """

    ip_address: str
    zone: str
    bind_addresses: BindAddresses
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...]
    bootstrap: bool = False
    node_name: str = ''
    data_directory: str | None = None
    heartbeat_interval_ms: int = 1000
    fault_tolerance: FaultTolerance = FaultTolerance()


_decoder = msgspec.json.Decoder(NodeSettings)


def settings_path() -> Path:
    """Return where the platform keeps the settings file."""
    return Path(os.environ.get(FILE_VARIABLE, ''))


def load_settings() -> Outcome[NodeSettings, str]:
    """Read the settings file."""
    path = settings_path()
    try:
        return Ok(_decoder.decode(path.read_bytes()))
    except OSError as error:
        return Err(f'{FILE_VARIABLE}: {error}')
    except msgspec.DecodeError as error:
        return Err(f'{path}: {error}')


def internal_address(settings: NodeSettings, public_address: str) -> str:
    """Return an instance's internal address; ports are the same on all."""
    host = split_address(public_address)[0]
    return f'{host}:{settings.internal_port_range[0]}'


def metrics_address(settings: NodeSettings) -> str:
    """Return where an instance serves its metrics."""
    return f'{settings.ip_address}:{METRICS_PORT}'


def control_addresses(settings: NodeSettings) -> tuple[str, ...]:
    """Return the internal addresses of the control instances named."""
    return tuple(internal_address(settings, seed) for seed in settings.seeds)


def read_control_options(settings: NodeSettings) -> ControlOptions:
    """Translate the settings of a control instance."""
    own = internal_address(settings, settings.bind_addresses.control_plane)
    return ControlOptions(
        own,
        settings.zone,
        own,
        settings.data_directory or '',
        tuple(
            Replica(address, '', address)
            for address in control_addresses(settings)
        ),
    )


def read_growth(settings: NodeSettings) -> GrowthPolicy:
    """Aim at enough voters to lose as many as the platform says."""
    losses = max(settings.fault_tolerance.machines, 1)
    return GrowthPolicy(2 * losses + 1, settings.bootstrap)


def read_balancer_options(settings: NodeSettings) -> TokenBalancerOptions:
    """Translate the settings of a balancer."""
    return TokenBalancerOptions(
        settings.node_name or settings.ip_address,
        settings.zone,
        settings.bind_addresses.datagram_address,
        settings.bind_addresses.readiness_address,
        metrics_address(settings),
        control_addresses(settings),
        timedelta(milliseconds=settings.heartbeat_interval_ms),
    )
