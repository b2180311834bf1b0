"""Measures the load of 240 task starts per second on the table by commit window.

``python -m tests.work.measure [seconds]``: four instances and four workers on
loopback; prints the calls counted by the platform's stand-in for each window.
"""

from gevent import monkey

monkey.patch_all()

import statistics  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from tests.support import stage, teams  # noqa: E402

RATE = 240
WINDOWS = (0.0, 0.01, 0.03)


def order(scene, instance, number, took):
    try:
        answer = scene.call(
            instance,
            "POST",
            "/v1/services/fuel/release",
            {"work_seconds": 0.05},
            teams.bearer("fuel-desk-token", Request_Id=f"m-{number}"),
        )
        if answer.json().get("outcome") == "completed":
            took.append(answer.seconds)
    except OSError:
        pass


def calls(scene):
    return scene.call(scene.platform, "GET", "/calls").json()


def measure(window, seconds):
    scene = stage.Stage()
    try:
        scene.start_platform()
        scene.write_settings("fuel-desk", teams.example("fuel-desk"))
        scene.start_workers("shymkent", 4, slots=64, cpus=256)
        for number in range(4):
            env = {"MANGOSAIL_COMMIT_WINDOW": str(window)}
            scene.start_instance(f"shymkent-{number}", "shymkent", env)
        scene.wait_ready()
        names = list(scene.instances)
        took, before, started = [], calls(scene), time.monotonic()
        sent = []
        for number in range(int(RATE * seconds)):
            gevent.sleep(max(started + number / RATE - time.monotonic(), 0))
            name = names[number % len(names)]
            sent.append(gevent.spawn(order, scene, name, number, took))
        lasted = time.monotonic() - started
        gevent.joinall(sent, timeout=15)
        after = calls(scene)
    finally:
        scene.close()
    rates = {key: (after[key] - before[key]) / lasted for key in after}
    took.sort()
    print(
        f"| {window * 1000:.0f} | {len(sent) / lasted:.0f} | {len(took)}/{len(sent)}"
        f" | {rates['commits']:.0f} | {rates['written_rows']:.0f}"
        f" | {rates['reads']:.0f} | {rates['read_rows']:.0f}"
        f" | {statistics.median(took) * 1000:.0f}"
        f" | {took[int(len(took) * 0.99)] * 1000:.0f} |",
        flush=True,
    )


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    print(
        "| window ms | starts/s | completed | commits/s | written rows/s"
        " | reads/s | read rows/s | p50 ms | p99 ms |\n" + "|---" * 9 + "|"
    )
    for window in WINDOWS:
        measure(window, seconds)


if __name__ == "__main__":
    main()
