"""The settings that the platform gives a process, and when they are wrong."""

import dataclasses
import pathlib

from mangosail import codec, errors

#: Names the file with the settings of this process.
SETTINGS_VARIABLE = "MANGOSAIL_SETTINGS"


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Where this process listens, as IP number and port."""

    #: Callers, by way of the platform's balancer.
    front: str = ""
    #: The balancer's checks.
    ready: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Terms of the platform that the scheduler has to keep to."""

    #: Seconds for which a job's last state can be asked for.
    status_s: float = 120
    #: Seconds between the notice to stop and the kill.
    grace_s: float = 6
    #: Longest lease of a worker, in milliseconds.
    hold_max_ms: float = 6000
    #: Milliseconds within which a change of the configuration must be in force.
    config_apply_ms: float = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the machine gives this process."""

    #: Share of each core, and how many cores there are.
    cpu_share: float = 1.0
    cores: float = 1.0
    #: Descriptors that the process may hold; some are kept for files.
    max_fds: int = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the platform's store is."""

    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The settings of a process on the platform, as the platform spells them."""

    node_name: str
    zone: str
    ip: str
    listen_addrs: Addresses
    platform: StoreSettings
    #: First and last port that instances may use among themselves.
    internal_ports: tuple[int, ...] = ()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    #: Address of the service that says which workers may run a step, if there is one.
    advice: str | None = None

    @property
    def peer_address(self) -> str:
        """Return where this process answers other instances; empty if nowhere."""
        if not self.internal_ports:
            return ""
        return f"{self.ip}:{self.internal_ports[0]}"


def read(path: str) -> Deployment:
    """Return the settings in a file, or raise `errors.ConfigurationError`."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as exc:
        raise errors.ConfigurationError(f"{path}: {exc.strerror}") from exc
    try:
        return codec.from_json(text, Deployment)
    except codec.DecodeError as exc:
        raise errors.ConfigurationError(f"{path}: {exc}") from exc
