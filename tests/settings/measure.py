"""Measures how long a change takes to be in force while instances are killed.

``python -m tests.settings.measure [changes] [seed]`` starts six instances in
three data centres, and kills and restarts one every few changes. It prints the
times from the accepted answer until the change is in force on each reachable
instance, and on one instance that is cut off from the table.
"""

import concurrent.futures
import random
import sys
import time

from tests.support import stage, teams

DESK = teams.bearer("fuel-desk-token")
DATA_CENTRES = ("shymkent", "taraz", "kyzylorda")
#: Changes between two kills.
KILL_EVERY = 5


def revision_at(scene, name):
    try:
        answer = scene.call(name, "GET", "/v1/settings", None, DESK, 2)
    except OSError:
        return None
    return answer.json()["teams"]["fuel-desk"] if answer.status == 200 else None


def follow(scene, name, revision, since, seen):
    """Return the seconds until `name` has `revision` in force; count reverts."""
    while time.monotonic() - since < 30:
        found = revision_at(scene, name)
        if found is not None:
            if found < seen.get(name, 0):
                seen["reverted"] = seen.get("reverted", 0) + 1
            seen[name] = found
            if found >= revision:
                return time.monotonic() - since
        time.sleep(0.02)
    return float("inf")


def change(scene, name, revision, number):
    content = {**teams.example("fuel-desk"), "quota": {"cpus": 1 + number}}
    content["tokens"][0]["operator"] = True
    body = {"change_id": f"m-{number}", "revision": revision, "content": content}
    for _ in range(40):
        answer = scene.call(name, "PUT", "/v1/settings/fuel-desk", body, DESK, 15)
        if answer.status == 200:
            return answer.json()["revision"]
        time.sleep(0.25)
    raise AssertionError(answer)


def run(changes, seed):
    chance = random.Random(seed)
    scene = stage.Stage()
    names = [f"{dc}-{n}" for dc in DATA_CENTRES for n in range(2)]
    cut = names[-1]
    times, cut_times, seen = [], [], {}
    try:
        scene.start_platform()
        scene.write_settings("fuel-desk", teams.example("fuel-desk"))
        for name in names:
            scene.start_instance(name, name.split("-")[0])
        for name in names:
            stage.wait_until(lambda n=name: revision_at(scene, n), what=name)
        scene.faults(cut=[cut])
        revision, killed = 1, None
        for number in range(changes):
            if number % KILL_EVERY == 0:
                killed = kill_one(scene, names[:-1], chance, seen)
            up = [n for n in names[:-1] if n != killed]
            revision = change(scene, chance.choice(up), revision, number)
            since = time.monotonic()
            with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
                asked = {
                    n: pool.submit(follow, scene, n, revision, since, seen)
                    for n in (*up, cut)
                }
            cut_times.append(asked.pop(cut).result())
            times += [future.result() for future in asked.values()]
        calls = stage.call(scene.platform, "GET", "/calls").json()
    finally:
        scene.close()
    return times, cut_times, seen.get("reverted", 0), calls


def kill_one(scene, names, chance, seen):
    """Kill an instance and restart it; it is measured again after the next kill."""
    name = chance.choice(names)
    scene.kill(name)
    seen.pop(name, None)
    scene.start_instance(name, name.split("-")[0])
    return name


def show(label, values):
    ordered = sorted(values)
    p50, p99 = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.99)]
    print(
        f"{label:34}{len(values):>6}  p50 {p50:.2f} s  p99 {p99:.2f} s  "
        f"max {ordered[-1]:.2f} s"
    )


def main():
    changes = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    started = time.monotonic()
    times, cut_times, reverted, calls = run(changes, seed)
    print(f"{changes} changes, seed {seed}, {time.monotonic() - started:.0f} s")
    show("reachable instances", times)
    show("instance cut off from the table", cut_times)
    print(f"reverts seen: {reverted}; table: {calls}")
    return 1 if reverted or max(times + cut_times) > 5 else 0


if __name__ == "__main__":
    sys.exit(main())
