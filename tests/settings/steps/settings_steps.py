import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

from behave import given, then, when
from tests.support import stage, teams

OPERATOR = teams.token("fuel-desk-token")["name"]
DESK = teams.bearer("fuel-desk-token")
ADMIN = teams.bearer(teams.ADMIN_TOKEN)
PATH = "/v1/settings/fuel-desk"


def ask(context, instance, method="GET", path=PATH, body=None, headers=DESK):
    answer = context.stage.call(instance, method, path, body, headers, timeout=15)
    context.bodies = [*getattr(context, "bodies", []), answer.body]
    return answer


def read_settings(context, instance="shymkent-0"):
    return ask(context, instance).json()


def put(context, instance, content, change_id, revision, **extra):
    body = {"change_id": change_id, "revision": revision, "content": content, **extra}
    return ask(context, instance, "PUT", PATH, body)


def revision_in_force(context, instance):
    """Return the revision in force on an instance, without a read of the table."""
    answer = context.stage.call(instance, "GET", "/v1/settings", headers=DESK)
    # Without settings an instance knows no token and answers 401.
    return answer.json()["teams"]["fuel-desk"] if answer.status == 200 else None


@when('the desk sets its quota to {cores:d} cores at "{instance}"')
def set_cores(context, cores, instance):
    now = read_settings(context, "shymkent-1")
    content = {**now["content"], "quota": {"cpus": cores}}
    context.asked = (content, f"quota-{cores}", now["revision"])
    context.answer = put(context, instance, *context.asked)


@then("the change is accepted")
def is_accepted(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.json()["revision"] == context.asked[2] + 1


@then("every instance has {cores:d} cores in force within {seconds:d} seconds")
def everywhere(context, cores, seconds):
    for name in context.stage.instances:
        in_force(context, name, cores, seconds)


@then('"{name}" has {cores:d} cores in force within {seconds:d} seconds')
def in_force(context, name, cores, seconds):
    revision = context.answer.json()["revision"]
    stage.wait_until(
        lambda: revision_in_force(context, name) == revision,
        seconds,
        f"{name} in force",
    )


@then('"{name}" reports that "{data_centres}" have the change in force')
def rollout(context, name, data_centres):
    expected = dict.fromkeys(data_centres.split(", "), True)
    stage.wait_until(
        lambda: (
            ask(context, name, path=PATH + "/rollout").json()["data_centres"]
            == expected
        ),
        5,
        "rollout",
    )


@then('"{name}" shows {cores:d} cores at once, read from the table')
def at_once(context, name, cores):
    shown = read_settings(context, name)
    assert shown["content"]["quota"] == {"cpus": cores}, shown
    assert shown["read_from"] == "table"


@when("two operators change the current revision concurrently, {count:d} times")
def race(context, count):
    context.races = []
    for number in range(count):
        now = read_settings(context)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            tried = [
                pool.submit(
                    put, context, name,
                    {**now["content"], "quota": {"cpus": 200 + side}},
                    f"race-{number}-{side}", now["revision"],
                )
                for side, name in enumerate(("shymkent-0", "taraz-0"))
            ]  # fmt: skip
        context.races.append((now["revision"], [f.result() for f in tried]))


@then("each time one is accepted and the other is told the author of the first")
def one_won(context):
    for revision, answers in context.races:
        first, second = sorted(answers, key=lambda answer: answer.status)
        assert (first.status, second.status) == (200, 409), answers
        reply = second.json()
        assert reply["title"] == "superseded" and reply["outcome"] == "not_made", reply
        assert (reply["revision"], reply["author"]) == (revision + 1, OPERATOR), reply


@given("the table loses every answer to a write")
def lose_answers(context):
    context.stage.faults(lose_answers=1.0)


@given("it goes down once it has committed the next change")
def down_after_change(context):
    log = f"/log?since={last_version(context)}"

    def watch():
        stage.wait_until(
            lambda: (
                "settings/changes"
                in stage.call(context.stage.platform, "GET", log).body.decode()
            ),
            10,
            "change made",
        )
        context.stage.faults(table="down")

    threading.Thread(target=watch, daemon=True).start()


def last_version(context):
    log = stage.call(context.stage.platform, "GET", "/log").json()
    return log[-1]["version"]


@then('the answer is {status:d} "{title}" with the change id and when to retry')
def is_undecided(context, status, title):
    reply = context.answer.json()
    assert (context.answer.status, reply["title"]) == (status, title), reply
    assert reply["outcome"] == "unknown" and reply["change_id"] == context.asked[1]
    assert float(context.answer.headers["retry-after"]) > 0


@when('the table is up and the same change is requested at "{name}"')
def ask_same(context, name):
    context.stage.faults(table="up", lose_answers=0.0)
    context.answer = put(context, name, *context.asked)


@when("its id is used for another change")
def reuse_id(context):
    _, change_id, revision = context.asked
    context.answer = put(context, "taraz-0", {}, change_id, revision)


@then('the answer is {status:d} "{title}"')
def answered(context, status, title):
    assert context.answer.status == status, context.answer
    assert context.answer.json()["title"] == title


@then("the history contains it once")
def history_once(context):
    context.stage.faults(lose_answers=0.0)
    found = ask(context, "taraz-0", path=PATH + "/history").json()["revisions"]
    made = [entry["change_id"] for entry in found]
    assert made.count(context.asked[1]) == 1, made


@when("the desk sets settings with three faults")
def three_faults(context):
    context.before = read_settings(context)
    content = {
        "quota": {"cpus": -1},
        "weights": ["tail"],
        "services": {"fuel": {"quote": {"mode": "fast"}}},
    }
    context.answer = put(context, "shymkent-0", content, "bad", 0)
    assert context.answer.status == 409
    revision = context.before["revision"]
    context.answer = put(context, "shymkent-0", content, "bad", revision)


@then("the answer names each fault's path, value and what was expected")
def names_faults(context):
    assert context.answer.status == 422, context.answer
    found = {
        f["path"]: (f["value"], f["expected"]) for f in context.answer.json()["faults"]
    }
    assert found == {
        "quota.cpus": (-1, "greater than 0"),
        "weights": ("list of 1 items", "each of tail, evictions, throughput once"),
        "services.fuel.quote.mode": ("fast", "'quote', 'task' or 'watch'"),
    }, found


@then("nothing has changed")
def unchanged(context):
    assert read_settings(context) == context.before


@when("the desk tries a quota of {cores:d} cores without a release operation")
def dry_run(context, cores):
    context.before = now = read_settings(context)
    services = json.loads(json.dumps(now["content"]["services"]))
    del services["fuel"]["release"]
    content = {**now["content"], "services": services, "quota": {"cpus": cores}}
    body = {"revision": now["revision"], "content": content}
    context.answer = ask(context, "taraz-0", "PUT", PATH + "?dry_run=true", body)


@then("it is shown both differences and a warning about running releases")
def told_differences(context):
    reply = context.answer.json()
    assert {d["path"]: d["new"] for d in reply["changed"]} == {
        "quota.cpus": 110,
        "services.fuel.release.mode": None,
        "services.fuel.release.needs.cpus": None,
        "services.fuel.release.needs.memory_gb": None,
        "services.fuel.release.deadline_seconds": None,
    }, reply
    assert reply["warnings"][0].startswith("services.fuel.release: removed"), reply


@when("the desk rotates its caller's token and restores the revision before")
def rotate(context):
    context.before = now = read_settings(context)
    assert ask(context, "taraz-0", path="/v1/status",
               headers=teams.bearer("old-caller")).status == 200  # fmt: skip
    tokens = [
        {"name": OPERATOR, "operator": True},
        {**teams.token("new-caller"), "name": "caller"},
    ]
    content = {**now["content"], "tokens": tokens, "quota": {"cpus": 130}}
    rotated = put(context, "shymkent-0", content, "rotate", now["revision"])
    assert rotated.status == 200, rotated
    body = {
        "change_id": "roll", "revision": now["revision"] + 1,
        "content_of": now["revision"],
    }  # fmt: skip
    context.answer = ask(context, "shymkent-1", "PUT", PATH, body)


@then("the earlier content is in force as a new revision")
def rolled(context):
    assert context.answer.status == 200, context.answer
    now = read_settings(context, "taraz-0")
    assert now["revision"] == context.before["revision"] + 2
    assert now["content"]["quota"] == context.before["content"]["quota"]


@then("the old caller's token is refused everywhere, the new one is not")
def old_token_out(context):
    for name in context.stage.instances:
        in_force(context, name, 0, 5)
        for secret, status in (("old-caller", 401), ("new-caller", 200)):
            answer = ask(context, name, path="/v1/status", headers=teams.bearer(secret))
            assert answer.status == status, (name, secret, answer)


@when("callers, another team, strangers and the administrator ask for everything")
def ask_everything(context):
    askers = {
        "operator": DESK,
        "caller": teams.bearer("new-caller"),
        "other team": teams.bearer("plegadora-token"),
        "stranger": teams.bearer("guessed-token"),
        "nobody": {},
        "administrator": ADMIN,
    }
    body = {"revision": 10**6, "content": {}}
    context.statuses = {
        who: [
            ask(context, "taraz-0", "GET", PATH, None, headers).status,
            ask(context, "taraz-0", "GET", PATH + "/history", None, headers).status,
            ask(context, "taraz-0", "GET", PATH + "/rollout", None, headers).status,
            ask(context, "taraz-0", "PUT", PATH, body, headers).status,
            ask(context, "taraz-0", "GET", "/v1/settings/absent", None, headers).status,
        ]
        for who, headers in askers.items()
    }


@then("each gets only what it is authorized for")
def only_theirs(context):
    # An authorized change is refused only by the check of its revision (409).
    assert context.statuses == {
        "operator": [200, 200, 200, 409, 404],
        "caller": [403, 403, 403, 403, 404],
        "other team": [404] * 5,
        "stranger": [401] * 5,
        "nobody": [401] * 5,
        "administrator": [200, 200, 200, 409, 404],
    }, context.statuses


@then("no answer or log contains a token or a hash")
def no_secrets(context):
    logs = [path.read_bytes() for path in context.stage.logs.glob("*.log")]
    assert any(b"in force" in log for log in logs)
    secrets = ["fuel-desk-token", "plegadora-token", "old-caller", "new-caller",
               "guessed-token", teams.ADMIN_TOKEN]  # fmt: skip
    for secret in secrets:
        for text in (secret, teams.token(secret)["sha256"]):
            found = [b for b in (*logs, *context.bodies) if text.encode() in b]
            assert not found, (text, found[0][:400])


@when('the administrator creates the team "{team}"')
def create_team(context, team):
    content = {"tokens": [teams.token(f"{team}-token", operator=True)]}
    body = {"change_id": "create", "revision": 0, "content": content}
    answer = ask(context, "shymkent-0", "PUT", f"/v1/settings/{team}", body, ADMIN)
    assert answer.status == 200, answer


@when('"{team}" sets its quota to {cores:d} cores')
def team_sets(context, team, cores):
    context.operator = teams.token(f"{team}-token")["name"]
    tokens = [{"name": context.operator, "operator": True}]
    body = {
        "change_id": "quota", "revision": 1,
        "content": {"quota": {"cpus": cores}, "tokens": tokens},
    }  # fmt: skip
    context.started = time.time()
    headers = teams.bearer(f"{team}-token")
    path = f"/v1/settings/{team}"
    answer = ask(context, "shymkent-0", "PUT", path, body, headers)
    assert answer.status == 200, answer
    context.answer = ask(context, "shymkent-0", "GET", path + "/history", None, headers)


@then("its history names both authors, times and paths")
def names_authors(context):
    second, first = context.answer.json()["revisions"]
    assert (first["author"], second["author"]) == ("administrator", context.operator)
    assert abs(second["changed_at"] - context.started) < 5
    assert second["changed"] == [{"path": "quota.cpus", "old": None, "new": 9}]
    token = f"tokens.{context.operator}"
    assert {d["path"]: d["new"] for d in first["changed"]} == {
        f"{token}.name": context.operator,
        f"{token}.operator": True,
        f"{token}.sha256": "hidden",
    }, first


@given('"{name}" is cut off from the platform')
def cut_off(context, name):
    context.stage.faults(cut=[name])


@then('"{name}" refuses changes with "{title}" and answers from memory')
def refuses(context, name, title):
    shown = read_settings(context, name)
    assert shown["read_from"] == "memory"
    assert shown["revision"] == context.answer.json()["revision"]
    refused = put(context, name, {}, "cut", shown["revision"])
    assert (refused.status, refused.json()["title"]) == (503, title), refused
    assert refused.json()["outcome"] == "unknown"


@then('"{name}" reports stale settings until it is reconnected')
def reports_stale(context, name):
    def settings():
        return ask(context, name, path="/v1/status").json()["settings"]

    stage.wait_until(lambda: settings()["stale"], 15, "stale")
    assert settings()["age_seconds"] > 10
    context.stage.faults(cut=[])
    stage.wait_until(lambda: not settings()["stale"], 10, "renewed")


@when('the table goes down and "{name}" is started')
def start_late(context, name):
    context.stage.faults(table="down")
    context.stage.start_instance(name, "taraz", context.env)


@then('"{name}" has the settings that are in force elsewhere')
def has_settings(context, name):
    expected = revision_in_force(context, "shymkent-0")
    stage.wait_until(lambda: revision_in_force(context, name) == expected, 15, name)
    status = ask(context, name, path="/v1/status").json()["settings"]
    assert status["age_seconds"] is None and status["stale"], status
    context.stage.faults(table="up")


@when("the table is restored to the state before the last change")
def put_back(context):
    def rows():
        found = stage.call(context.stage.platform, "GET", "/rows?prefix=settings/")
        return {row["key"]: row["value"] for row in found.json()}

    earlier = rows()
    set_cores(context, 140, "shymkent-0")
    everywhere(context, 140, 5)
    backup = {key: earlier.get(key) for key in rows()}
    stage.call(context.stage.platform, "POST", "/rows", backup)


@then("the change stays in force, and the table contains it again")
def holds_again(context):
    revision = context.answer.json()["revision"]

    def held():
        for name in context.stage.instances:
            assert revision_in_force(context, name) >= revision, name
        now = read_settings(context)
        return now["content"]["quota"] == {"cpus": 140}

    stage.wait_until(held, 30, "written back")


def run_cli(context, *args, token="fuel-desk-token", server=None):
    env = {
        **os.environ,
        "PYTHONPATH": str(stage.ROOT / "src"),
        "MANGOSAIL_SERVER": server or context.stage.instances["shymkent-0"],
        "MANGOSAIL_TOKEN": token,
    }
    done = subprocess.run(
        [sys.executable, "-m", "mangosail", "settings", *args],
        env=env, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    return done.returncode, done.stdout, done.stderr


@when("an operator runs each settings command")
def use_cli(context):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="mangosail-"))
    file, bad = str(folder / "desk.json"), str(folder / "bad.json")
    code, text, _ = run_cli(context, "get", "fuel-desk", "--json")
    now = json.loads(text)
    content = {**now["content"], "quota": {"cpus": 150}}
    pathlib.Path(file).write_text(json.dumps(content))
    pathlib.Path(bad).write_text('{"quota": {"cpus": 0}}')
    run = lambda *args, **kw: run_cli(context, *args, **kw)
    context.runs = {
        "get": (code, text, ""),
        "diff": run("diff", "fuel-desk", file),
        "set": run("set", "fuel-desk", file, "--revision", str(now["revision"])),
        "stale": run("set", "fuel-desk", file, "--revision", str(now["revision"])),
        "watch": run("watch", "fuel-desk"),
        "history": run("history", "fuel-desk", "--limit", "1"),
        "restore": run("restore", "fuel-desk", str(now["revision"])),
        "bad": run("set", "fuel-desk", bad),
        "check": run("check", bad),
        "other": run("get", "plegadora"),
        "server": run("get", "fuel-desk", server="nowhere"),
        "no answer": run("get", "fuel-desk", server=stage.free_address()),
        "unknown": run(
            "set", "fuel-desk", file, "--revision", "1", "--timeout", "0",
            "--change-id", "lost", server=stage.free_address(),
        ),
        "schema": run("schema"),
        "examples": [run("check", str(p)) for p in teams.EXAMPLES.glob("*.json")],
    }  # fmt: skip


@then("each command prints what it should and exits as documented")
def cli_results(context):
    runs = context.runs
    codes = {name: run[0] for name, run in runs.items() if name != "examples"}
    assert codes == {
        "get": 0, "diff": 0, "set": 0, "stale": 1, "watch": 0, "history": 0,
        "restore": 0, "bad": 1, "check": 2, "other": 1, "server": 2,
        "no answer": 3, "unknown": 4, "schema": 0,
    }, runs  # fmt: skip
    assert "quota.cpus: 140 -> 150" in runs["diff"][1], runs["diff"]
    assert "quota.cpus: 140 -> 150" in runs["history"][1], runs["history"]
    assert "current revision" in runs["stale"][2]
    assert "shymkent in force, taraz in force" in runs["watch"][1]
    assert "quota.cpus: 0: expected greater than 0" in runs["bad"][2]
    assert "quota.cpus: 0: expected greater than 0" in runs["check"][2]
    assert "--server (MANGOSAIL_SERVER): 'nowhere': expected" in runs["server"][2]
    assert "--change-id lost" in runs["unknown"][2]
    committed = (stage.ROOT / "docs" / "settings.schema.json").read_text()
    assert runs["schema"][1] == committed, "docs/settings.schema.json is out of date"
    assert [run[0] for run in runs["examples"]] == [0, 0], runs["examples"]
