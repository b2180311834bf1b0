"""Process settings: flags and environment variables, checked at the start."""

import enum
import ipaddress
import resource
import typing as t

import pydantic
import pydantic_settings

from mangosail.placement import choice

Name = t.Annotated[str, pydantic.Field(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Digest = t.Annotated[str, pydantic.Field(pattern="^[0-9a-f]{64}$")]
LogLevel = t.Literal["CRITICAL", "ERROR", "WARNING", "NOTICE", "INFO", "DEBUG"]


class Control(enum.StrEnum):
    """Whether the control loop acts; off serves as the baseline of measurements."""

    ON = "on"
    OFF = "off"


def check_address(value: str) -> str:
    """Return `value` if it is an IP address and a port."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise ValueError("expected an IP address and a port") from exc
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("expected a port from 1 to 65535")
    return value


Address = t.Annotated[str, pydantic.AfterValidator(check_address)]


class ProcessSettings(pydantic_settings.BaseSettings):
    """Settings with which one instance starts.

    Each field is a flag of ``mangosail serve`` and an environment variable with
    the prefix ``MANGOSAIL_``.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix="MANGOSAIL_", frozen=True
    )

    instance: Name = pydantic.Field(description="Name of this instance.")
    data_centre: Name = pydantic.Field(description="Data centre of this instance.")
    http_address: Address = pydantic.Field(
        description="Address on which callers and operators are served."
    )
    peer_address: Address = pydantic.Field(
        description="Address on which peers are served."
    )
    platform_address: Address = pydantic.Field(description="Address of the platform.")
    statsd_address: Address | None = pydantic.Field(
        None,
        description="Address of the statsd server; no metrics are sent if left out.",
    )
    tls_certificate: str | None = pydantic.Field(
        None,
        description="Certificate chain that names this instance: a file or PEM text.",
    )
    tls_key: str | None = pydantic.Field(
        None, description="The certificate's key: a file or, in the variable, PEM text."
    )
    tls_authority: str | None = pydantic.Field(
        None,
        description="Authority that signs peers' certificates: a file or PEM text.",
    )
    plaintext: bool = pydantic.Field(
        False, description="Serve callers and peers without TLS."
    )
    log_level: LogLevel = pydantic.Field(
        "INFO", description="Lowest level of log lines that are written."
    )
    memory_mb: float = pydantic.Field(
        256.0,
        ge=64,
        description="Memory in megabytes that this process may use; a quarter of it "
        "is for connections and requests of clients.",
    )
    max_fds: int = pydantic.Field(
        default_factory=lambda: resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        ge=256,
        description="File descriptors that this process may use; by default as many "
        "as the operating system allows it.",
    )
    drain_seconds: float = pydantic.Field(
        30.0,
        ge=0,
        le=3600,
        description="Longest time in seconds that a planned stop takes.",
    )
    abort_on_broken_invariant: bool = pydantic.Field(
        False, description="End the process on a broken invariant."
    )
    commit_window: float = pydantic.Field(
        0.01,
        ge=0,
        le=1,
        description="Seconds that a write waits to be grouped with others.",
    )
    admin_token_sha256: Digest | None = pydantic.Field(
        None, description="SHA-256 of the administrator's token, in hexadecimal."
    )
    seed: int = pydantic.Field(
        0, description="Seed of random choices; 0 for a random one."
    )
    control: Control = pydantic.Field(
        Control.ON, description="Whether batch tasks are throttled for quotes."
    )
    chooser: choice.Policy = pydantic.Field(
        choice.Policy.LEARNED,
        description="How a worker is chosen; all but the learned one are baselines.",
    )

    @pydantic.model_validator(mode="after")
    def _check_tls(self) -> "ProcessSettings":
        given = (self.tls_certificate, self.tls_key, self.tls_authority)
        if self.plaintext and any(given):
            raise ValueError("expected either --plaintext or the --tls-... flags")
        if not self.plaintext and not all(given):
            raise ValueError(
                "expected --tls-certificate, --tls-key and --tls-authority, or "
                "--plaintext (MANGOSAIL_PLAINTEXT=true) to serve without TLS"
            )
        return self
