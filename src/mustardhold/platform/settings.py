"""The JSON settings file that the platform writes for each process."""

import os
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path

import msgspec

from mustardhold.systems.addresses import split_address
from mustardhold.tables.constants import STOP_GRACE
from mustardhold.tables.options import (
    ControlOptions,
    GrowthPolicy,
    Replica,
    TokenBalancerOptions,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome

FILE_VARIABLE = 'MUSTARDHOLD_NODE_FILE'
# Must match the port in deploy/system.toml.
METRICS_PORT = 9464
BYTES_PER_MEGABIT = 125_000


class BindAddresses(msgspec.Struct, frozen=True):
    """Addresses where a process listens for callers, servers and operators."""

    datagram_address: str = ''
    readiness_address: str = ''
    control_plane: str = ''


class FaultTolerance(msgspec.Struct, frozen=True):
    """Numbers of failures that must be tolerated at the same time."""

    machines: int = 0


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the platform keeps to.

    Attributes
    ----------
    grace_period_s
        Time between SIGTERM and SIGKILL at a planned stop, in seconds.
    """

    grace_period_s: float = STOP_GRACE.total_seconds()


class InstanceLimits(msgspec.Struct, frozen=True):
    """Resources of the instance.

    Attributes
    ----------
    link_mbps
        Rate of the instance's own link in megabits a second; 0 if unknown.
    """

    link_mbps: float = 0


class NodeSettings(msgspec.Struct, frozen=True):
    """The settings that are used; other fields are ignored.

    Attributes
    ----------
    zone
        The instance's data centre.
    zones
        Region of each data centre, by name. Settings of another form must not
        keep an instance from starting.
    internal_port_range
        First and last port for traffic between mustardhold's processes.
    seeds
        Public addresses of some of the control instances.
    bootstrap
        Whether the whole system is being started for the first time.
    shares_evidence
        Whether balancers report servers that answer badly, and avoid suspect
        ones.
    controls_admission
        Whether balancers refuse openings while a service is overloaded.
    chooses_by_load
        Whether balancers choose servers by the requests in progress.
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
    bounds: Bounds = Bounds()
    limits: InstanceLimits = InstanceLimits()
    shares_evidence: bool = True
    controls_admission: bool = True
    chooses_by_load: bool = True
    zones: object = None


_decoder = msgspec.json.Decoder(NodeSettings)


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(FILE_VARIABLE, ''))


def load_settings() -> Outcome[NodeSettings, str]:
    """Read and decode the settings file."""
    path = settings_path()
    try:
        return Ok(_decoder.decode(path.read_bytes()))
    except OSError as error:
        return Err(f'{FILE_VARIABLE}: {error}')
    except msgspec.DecodeError as error:
        return Err(f'{path}: {error}')


def internal_address(settings: NodeSettings, public_address: str) -> str:
    """Return an instance's internal address.

    All instances use the same internal port.
    """
    host = split_address(public_address)[0]
    return f'{host}:{settings.internal_port_range[0]}'


def metrics_address(settings: NodeSettings) -> str:
    """Return the address where an instance serves its metrics."""
    return f'{settings.ip_address}:{METRICS_PORT}'


def control_addresses(settings: NodeSettings) -> tuple[str, ...]:
    """Return the internal addresses of the control instances in ``seeds``."""
    return tuple(internal_address(settings, seed) for seed in settings.seeds)


def read_control_options(settings: NodeSettings) -> ControlOptions:
    """Convert the settings to the options of a control instance."""
    local_address = internal_address(
        settings, settings.bind_addresses.control_plane
    )
    return ControlOptions(
        local_address,
        settings.zone,
        local_address,
        settings.data_directory or '',
        tuple(
            Replica(address, '', address)
            for address in control_addresses(settings)
        ),
    )


def read_data_centres(settings: NodeSettings) -> frozenset[str]:
    """Return the names of all data centres; none if they are not a mapping."""
    zones = settings.zones
    return frozenset(zones if isinstance(zones, Mapping) else ())


def read_report_interval(settings: NodeSettings) -> timedelta:
    """Return the interval between two reports of a backend server."""
    return timedelta(milliseconds=settings.heartbeat_interval_ms)


def read_growth_policy(settings: NodeSettings) -> GrowthPolicy:
    """Return the growth policy: enough voters for the tolerated losses.

    2n + 1 voters keep a majority after the loss of n machines, where n is at
    least 1.
    """
    losses = max(settings.fault_tolerance.machines, 1)
    return GrowthPolicy(2 * losses + 1, settings.bootstrap)


def read_balancer_options(settings: NodeSettings) -> TokenBalancerOptions:
    """Convert the settings to the options of a balancer."""
    return TokenBalancerOptions(
        settings.node_name or settings.ip_address,
        settings.zone,
        settings.bind_addresses.datagram_address,
        settings.bind_addresses.readiness_address,
        metrics_address(settings),
        f'{settings.ip_address}:{settings.internal_port_range[0]}',
        control_addresses(settings),
        timedelta(seconds=settings.bounds.grace_period_s),
        max(settings.limits.link_mbps, 0) * BYTES_PER_MEGABIT,
        shares_evidence=settings.shares_evidence,
        controls_admission=settings.controls_admission,
        chooses_by_load=settings.chooses_by_load,
    )
