"""Settings file of one entry instance."""

import ipaddress
from typing import Annotated, Literal, Self

from pydantic import AfterValidator, Field, model_validator
from result import Result

from cactustiller.model.jobs import NAME_PATTERN

from .parsing import SettingsError, StrictRecord, parse_json, read_text, validate

HEARTBEATS_PER_LEASE = 2


def _check_host(value):
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"{value!r} is not an IP address") from None
    return value


def _check_address(value):
    host, _, port = value.rpartition(":")
    _check_host(host.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535):
        raise ValueError(f"{port!r} is not a port from 1 to 65535")
    return value


def _check_not_empty(value):
    # With pydantic's minimum length, an invalid item would also cause an error that
    # the list is too short.
    if not value:
        raise ValueError("must not be empty")
    return value


Host = Annotated[str, AfterValidator(_check_host)]
Address = Annotated[str, AfterValidator(_check_address)]
Port = Annotated[int, Field(ge=1, le=65_535)]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
FilePath = Annotated[str, Field(min_length=1)]


class TlsSettings(StrictRecord):
    """Paths of the certificate and its private key, in PEM format."""

    certificate: FilePath
    private_key: FilePath


class GatewaySettings(StrictRecord):
    """Host and ports on which the gateway listens."""

    host: Host
    http_port: Port
    peer_port: Port
    tls: TlsSettings | None = None


class SchedulerSettings(StrictRecord):
    """Host and port on which the scheduler listens."""

    host: Host
    peer_port: Port


class PlatformSettings(StrictRecord):
    """Addresses (``IP:port``) of the platform's services."""

    table: Annotated[tuple[Address, ...], AfterValidator(_check_not_empty)]
    objects: Address
    instances: Address


class TimingSettings(StrictRecord):
    """Intervals of the daemons; a lease lasts at least two heartbeats."""

    heartbeat_seconds: float = Field(default=0.5, ge=0.05, le=60)
    lease_seconds: float = Field(default=2.0, ge=0.2, le=600)
    task_lease_seconds: float = Field(default=30.0, ge=1, le=3600)
    start_window_seconds: float = Field(default=5.0, ge=0.1, le=600)
    settings_poll_seconds: float = Field(default=1.0, ge=0.05, le=60)
    freshness_seconds: float = Field(default=8.0, ge=0.2, le=600)
    commit_delay_ms: float = Field(default=5.0, ge=0, le=1000)
    leaving_seconds: float = Field(default=2.0, ge=0, le=600)

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.lease_seconds < HEARTBEATS_PER_LEASE * self.heartbeat_seconds:
            raise ValueError("lease_seconds must be at least 2 heartbeat_seconds")
        if self.freshness_seconds < self.settings_poll_seconds:
            raise ValueError("freshness_seconds must be at least settings_poll_seconds")
        return self


class InstanceSettings(StrictRecord):
    """Settings file of an instance; requires `gateway`, `scheduler` or both.

    `peers` are peer addresses of other instances. A daemon that starts while the
    table service is unavailable fetches the settings from them.
    """

    instance: Name
    zone: Name
    region: Name
    site: Name
    cell: Name
    gateway: GatewaySettings | None = None
    scheduler: SchedulerSettings | None = None
    platform: PlatformSettings
    peers: tuple[Address, ...] = ()
    first_operator_key_file: FilePath | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    timing: TimingSettings = TimingSettings()

    @model_validator(mode="after")
    def _check_daemons(self) -> Self:
        if self.gateway is None and self.scheduler is None:
            raise ValueError("gateway or scheduler must be present")
        return self


def load_instance(path) -> Result[InstanceSettings, list[SettingsError]]:
    """Return the validated settings in the file at `path`, or every problem."""
    file = str(path)
    return (
        read_text(path)
        .and_then(lambda text: parse_json(text, file))
        .and_then(lambda data: validate(InstanceSettings, data, file))
    )
