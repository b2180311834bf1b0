"""Process settings: flags and environment variables, checked at the start."""

import ipaddress

import pydantic
import pydantic_settings

from mangosail.placement import choice


def check_address(value: str) -> str:
    """Return `value` if it is an IP number and a port."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise ValueError(f"{value!r}: expected IP number and port") from exc
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r}: expected a port from 1 to 65535")
    return value


class ProcessSettings(pydantic_settings.BaseSettings):
    """What one instance is told when it starts.

    Each field is a flag of ``mangosail serve`` and an environment variable with
    the prefix ``MANGOSAIL_``.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix="MANGOSAIL_", frozen=True
    )

    instance: str = pydantic.Field(pattern="^[a-z0-9][a-z0-9-]{0,62}$")
    data_centre: str = pydantic.Field(pattern="^[a-z0-9][a-z0-9-]{0,62}$")
    #: Where callers and operators are served.
    http_address: str
    #: Where peers are served.
    peer_address: str
    #: Where the platform listens.
    platform_address: str
    statsd_address: str | None = None
    log_level: str = "INFO"
    #: End the process on a broken invariant instead of only counting it.
    abort_on_broken_invariant: bool = False
    #: Seed of random choices; 0 draws one.
    seed: int = 0

    #: How a worker is chosen; all but the learned one serve as baselines.
    chooser: choice.Policy = choice.Policy.LEARNED

    @pydantic.field_validator("http_address", "peer_address", "platform_address")
    @classmethod
    def _addresses(cls, value: str) -> str:
        return check_address(value)
