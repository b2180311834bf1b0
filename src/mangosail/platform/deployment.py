"""Settings that the platform gives a process, and their validation."""

import dataclasses
import pathlib

from mangosail import codec, errors
from mangosail.scheduler import options, polling

#: Environment variable with the path of this process's settings file.
SETTINGS_VARIABLE = "MANGOSAIL_SETTINGS"
#: Environment variable with names of scheduler options that are switched off.
DISABLED_OPTIONS_VARIABLE = "MANGOSAIL_DISABLED_OPTIONS"


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses on which this process listens, as IP address and port."""

    #: For callers, behind the platform's load balancer.
    front: str = ""
    #: For the load balancer's readiness checks.
    ready: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the platform that the scheduler must observe."""

    #: Seconds for which the final state of a job can be queried.
    status_s: float = 120
    #: Seconds between the stop signal and the kill.
    grace_s: float = 6
    #: Maximum duration of a worker's lease, in milliseconds.
    hold_max_ms: float = 6000
    #: Milliseconds within which a configuration change must take effect.
    config_apply_ms: float = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Resources that the machine gives this process."""

    #: Usable share of each core, and the number of cores.
    cpu_share: float = 1.0
    cores: float = 1.0
    #: Maximum number of file descriptors; some are reserved for files.
    max_fds: int = 4096
    #: Memory in megabytes, above which the process is killed.
    memory_mb: float = 256


@dataclasses.dataclass(frozen=True, slots=True)
class FaultTolerance:
    """Losses that the deployment must survive at the same time."""

    #: Number of data centres.
    zones: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Location of the platform's store."""

    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Settings of a process on the platform, under the platform's names."""

    node_name: str
    zone: str
    ip: str
    listen_addrs: Addresses
    platform: StoreSettings
    #: First and last port for traffic between instances.
    internal_ports: tuple[int, ...] = ()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    #: Address of the service that tells which workers may run a step, if any.
    advice: str | None = None

    @property
    def scheduler_options(self) -> options.Options:
        """Return the optional decisions that these settings call for.

        They arrange work around runs that go on during an outage, which needs leases
        that outlast one. Where leases are shorter, all runs have ended by then.
        """
        longest_outage = polling.LEASE_EXTENSION_S + polling.MAX_UNCONFIRMED_S
        if self.bounds.hold_max_ms < longest_outage * 1000:
            return options.NONE
        return options.Options(
            assign_ahead=True,
            gather_jobs=self.fault_tolerance.zones > 0,
            copy_tasks=True,
            estimate_from_progress=True,
            hand_over_lease=bool(self.internal_ports),
            refuse_late_jobs=True,
        )

    @property
    def peer_address(self) -> str:
        """Return the address that serves other instances; empty if there is none."""
        if not self.internal_ports:
            return ""
        return f"{self.ip}:{self.internal_ports[0]}"


def read(path: str) -> Deployment:
    """Read the settings file at `path`, or raise `errors.ConfigurationError`."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as exc:
        raise errors.ConfigurationError(f"{path}: {exc.strerror}") from exc
    try:
        return codec.from_json(text, Deployment)
    except codec.DecodeError as exc:
        raise errors.ConfigurationError(f"{path}: {exc}") from exc
