"""Settings that the platform gives a process, and their validation."""

import dataclasses
import pathlib

from mangosail import codec, errors

#: Environment variable with the path of this process's settings file.
SETTINGS_VARIABLE = "MANGOSAIL_SETTINGS"


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
    #: Address of the service that tells which workers may run a step, if any.
    advice: str | None = None

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
