import pathlib
import subprocess

from behave import given, then, when
from tests.binary import measure
from tests.support import teams


@given("the built file on an instance without the program's packages")
def built(context):
    context.binary = measure.Binary()
    context.add_cleanup(context.binary.close)
    import_packages = measure.command_of("-c", "import gevent")
    # With "-I" before "-c": the interpreter itself must lack the packages.
    assert subprocess.run(import_packages, capture_output=True).returncode != 0


@when("it is started")
def start(context):
    context.process, _ = context.binary.start("shymkent-0")
    context.binary.stage.wait_ready("shymkent-0")


@then("it serves a quote, as one process without a child")
def serves(context):
    answer = context.binary.stage.call(
        "shymkent-0", "POST", "/v1/services/fuel/quote", {"tail": "UP-B3701"},
        teams.bearer("fuel-desk-token"),
    )  # fmt: skip
    assert answer.json()["echo"] == {"tail": "UP-B3701"}, answer
    assert context.process.poll() is None
    assert measure.children(context.process) == []


@then("it has unpacked its packages and runs its own copy of the program")
def runs_own_copy(context):
    (unpacked,) = context.binary.root.glob("*/site-packages")
    assert (unpacked / "mangosail" / "__main__.py").exists()
    maps = pathlib.Path(f"/proc/{context.process.pid}/maps").read_text()
    libraries = [line.split()[-1] for line in maps.splitlines() if "gevent" in line]
    assert libraries
    assert all(name.startswith(str(unpacked)) for name in libraries), libraries


@when("it is built again")
def build_again(context):
    folder = pathlib.Path(context.binary.folder.name) / "again"
    folder.mkdir()
    context.again = measure.build(folder)


@then("both files are identical")
def equal(context):
    assert context.again.read_bytes() == context.binary.file.read_bytes()
