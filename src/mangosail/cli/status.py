"""``mangosail status`` and ``mangosail drain``: the instances, for operators."""

import collections.abc as cabc
import dataclasses
import typing as t

import typer

from mangosail import codec, resources
from mangosail.cli import client as clients
from mangosail.cli import work

#: Default for workers without withheld resources.
NOTHING = resources.Resources()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerStatus:
    """A worker as its owner describes it."""

    name: str
    generation: int
    used: resources.Resources
    capacity: resources.Resources
    health: str
    #: Resources that an earlier owner may still use under its lease.
    withheld: resources.Resources = NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """An instance as it describes itself; ages are in seconds."""

    instance: str
    data_centre: str
    reachable: bool = True
    ready: bool = False
    draining: bool = False
    workers: tuple[WorkerStatus, ...] = ()
    waiting_tasks: int = 0
    running_work: int = 0
    settings_age: float | None = None
    lease_left: float = 0.0


def status(
    server: clients.Server,
    data_centre: t.Annotated[
        str | None,
        typer.Option(
            envvar="MANGOSAIL_STATUS_DATA_CENTRE", help="Only this data centre."
        ),
    ] = None,
    as_json: t.Annotated[
        bool, typer.Option("--json", help="Print JSON for programs.")
    ] = False,
    token_file: clients.TokenFile = None,
) -> None:
    """Print instances, the workers they own, queues, and the age of their settings."""
    client = clients.connect(server, token_file)
    path = "/v1/instances"
    if data_centre:
        path += f"?data_centre={work.quote(data_centre)}"
    answer = clients.ask(client, "GET", path)
    if as_json:
        typer.echo(codec.to_json(answer))
        return
    text = codec.to_json(answer["instances"])
    for line in table(codec.from_json(text, tuple[InstanceStatus, ...])):
        typer.echo(line)


def drain(
    server: clients.Server,
    token_file: clients.TokenFile = None,
) -> None:
    """Drain and stop the instance at --server.

    Give the instance's own address: through a balancer, any instance would be
    stopped. This requires the token of the platform's administrator.
    """
    client = clients.connect(server, token_file)
    answer = clients.ask(client, "POST", "/v1/drain")
    typer.echo(codec.to_json(answer))


def table(instances: cabc.Sequence[InstanceStatus]) -> list[str]:
    """Return the lines of the tables of instances and workers."""
    lines = [
        f"{'instance':24}{'data centre':16}{'state':12}{'workers':>8}{'queued':>8}"
        f"{'running':>9}{'settings':>10}{'lease':>8}"
    ]
    lines += [instance_line(found) for found in instances]
    lines += [
        "",
        f"{'worker':24}{'owner':24}{'health':10}{'slots':>8}{'cpus':>12}"
        f"{'withheld':>24}",
    ]
    for found in instances:
        lines += [worker_line(found, owned) for owned in found.workers]
    return lines


def instance_line(found: InstanceStatus) -> str:
    """Return an instance's row."""
    head = f"{found.instance:24}{found.data_centre:16}{state_of(found):12}"
    if not found.reachable:
        return head.rstrip()
    age = "never" if found.settings_age is None else f"{found.settings_age:.1f} s"
    return (
        f"{head}{len(found.workers):>8}{found.waiting_tasks:>8}"
        f"{found.running_work:>9}{age:>10}{found.lease_left:>6.1f} s"
    )


def state_of(found: InstanceStatus) -> str:
    """Return an instance's state in one word."""
    if not found.reachable:
        return "unreachable"
    if found.draining:
        return "draining"
    return "ready" if found.ready else "not ready"


def worker_line(found: InstanceStatus, owned: WorkerStatus) -> str:
    """Return a worker's row."""
    slots = f"{owned.used.slots}/{owned.capacity.slots}"
    cpus = f"{owned.used.cpus:.1f}/{owned.capacity.cpus:.1f}"
    return (
        f"{owned.name:24}{found.instance:24}{owned.health:10}{slots:>8}{cpus:>12}"
        f"{withheld_text(owned.withheld):>24}"
    )


def withheld_text(withheld: resources.Resources) -> str:
    """Return the resources withheld for earlier owners as text."""
    if withheld == NOTHING:
        return "-"
    return (
        f"{withheld.slots} slots, {withheld.cpus:.1f} cpus, {withheld.memory_gb:.0f} GB"
    )
