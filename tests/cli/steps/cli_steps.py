import json
import os
import shlex
import subprocess
import sys
import tempfile
import threading

from behave import given, then, when
from tests.support import relay, stage, teams

from mangosail import resources
from mangosail.cli import status as status_command


def run(context, arguments, text="", command=None):
    """Run the command line as a process against the first instance."""
    variables = {
        "PYTHONPATH": f"{stage.ROOT}/src",
        "MANGOSAIL_SERVER": context.stage.instances["shymkent-0"],
        "COLUMNS": "200",
    }
    if context.token:
        variables["MANGOSAIL_TOKEN"] = context.token
    inherited = {k: v for k, v in os.environ.items() if not k.startswith("MANGOSAIL_")}
    context.done = subprocess.run(
        command or [sys.executable, "-m", "mangosail", *shlex.split(arguments)],
        input=text,
        text=True,
        capture_output=True,
        timeout=60,
        cwd=stage.ROOT,
        env={**inherited, **variables, **context.variables},
    )


@given('the variable "{name}" is "{value}"')
def set_variable(context, name, value):
    context.variables[name] = value


@given('the token is "{token}"')
def set_token(context, token):
    context.token = token


@given('the token is ""')
def no_token(context):
    context.token = ""


@given('the server is "{instance}"')
def set_server(context, instance):
    context.variables["MANGOSAIL_SERVER"] = context.stage.instances[instance]


@given('the instance "{name}" is frozen')
def freeze(context, name):
    context.stage.freeze(name)
    context.add_cleanup(context.stage.thaw, name)


@given("the connection is cut after {count:d} bytes of the answer")
def cut(context, count):
    cutting = relay.Relay(context.stage.instances["shymkent-0"], count)
    context.add_cleanup(cutting.close)
    context.variables["MANGOSAIL_SERVER"] = cutting.address


def call(context, method, path, body=None):
    bearer = teams.bearer("fuel-desk-token")
    return context.stage.call("shymkent-0", method, path, body, bearer)


@given("{count:d} jobs were submitted")
def submit_jobs(context, count):
    needs = {"cpus": 1, "slots": 1}
    for number in range(count):
        job = {"job_id": f"c-p{number:02}", "kind": "k", "tasks": 1, "needs": needs}
        assert call(context, "POST", "/v1/jobs", job).status == 201


@given('the job "{job_id}" will be cancelled when it runs')
def cancel_later(context, job_id):
    path = f"/v1/jobs/{job_id}"

    def cancel():
        stage.wait_until(lambda: call(context, "GET", path).json().get("running"))
        assert call(context, "DELETE", path).status == 202

    thread = threading.Thread(target=cancel)
    thread.start()
    context.add_cleanup(thread.join)


@when('"{arguments}" is run')
def run_plain(context, arguments):
    run(context, arguments)


@when("\"{arguments}\" is run with the input '{text}'")
def run_with_input(context, arguments, text):
    run(context, arguments, text)


@when("\"{arguments}\" is run with the file '{text}'")
def run_with_file(context, arguments, text):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(text)
        file.flush()
        run(context, arguments.replace("--file -", f"--file {file.name}"))


@when('"{arguments}" is run from bash')
def run_from_bash(context, arguments):
    # The program looks for a shell among its parent processes. Without the `true`,
    # bash would replace itself with the program.
    line = f"{sys.executable} -m mangosail {arguments}; true"
    run(context, "", command=["bash", "-c", line])


@when('the shell completes "{words}"')
def complete(context, words):
    context.variables |= {
        "_MANGOSAIL_COMPLETE": "complete_bash",
        "COMP_WORDS": words,
        "COMP_CWORD": "1",
    }
    run(context, "")


@then("it ends with status {status:d}")
def ends_with(context, status):
    assert context.done.returncode == status, context.done


@then('the error output contains "{text}"')
def error_contains(context, text):
    assert text in context.done.stderr, context.done


@then('it prints "{first}" and "{second}"')
def prints(context, first, second):
    assert first in context.done.stdout, context.done
    assert second in context.done.stdout, context.done


@then('it prints "{text}" and ""')
def prints_one(context, text):
    assert text in context.done.stdout, context.done


@then('the JSON lists only "{instance}" with worker "{worker}" "{health}" work')
def json_lists(context, instance, worker, health):
    (found,) = json.loads(context.done.stdout)["instances"]
    assert found["instance"] == instance, found
    assert [(w["name"], w["health"]) for w in found["workers"]] == [(worker, health)]
    assert 0 < found["lease_left"] <= 3.0, found
    assert 0 <= found["settings_age"] < 5.0, found


@then('the workers\' logs show one start of "{request_id}"')
def one_start(context, request_id):
    starts = context.stage.starts_of(f"fuel-desk/{request_id}")
    assert len(starts) == 1, starts


@then("it prints the events {first:d} to {last:d}, each once")
def prints_events(context, first, last):
    lines = context.done.stdout.splitlines()
    numbers = [json.loads(line)["sequence"] for line in lines]
    assert numbers == list(range(first, last + 1)), context.done


@then("the row of a worker with {slots:d} slots and {cpus:d} cores withheld shows them")
def withheld_told(context, slots, cpus):
    capacity = resources.Resources(cpus=32, slots=8)
    withheld = resources.Resources(cpus=cpus, slots=slots)
    worker = status_command.WorkerStatus(
        "w0", 1, status_command.NOTHING, capacity, "taking", withheld
    )
    found = status_command.InstanceStatus("a-0", "a")
    line = status_command.worker_line(found, worker)
    assert f"{slots} slots, {cpus}.0 cpus" in line, line


@then('the process of "{name}" ends within {seconds:d} seconds')
def process_ends(context, name, seconds):
    process = context.stage.processes[name]
    stage.wait_until(lambda: process.poll() is not None, seconds, f"{name} ended")
