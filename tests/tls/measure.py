"""Measures the latency that TLS adds to a quote: ``python -m tests.tls.measure``."""

import pathlib
import tempfile
import time

import geventhttpclient

from tests.support import certificates, stage, teams

QUOTES = 1000
NEW_CONNECTIONS = 200


def main():
    with tempfile.TemporaryDirectory() as folder:
        authority = certificates.Authority(pathlib.Path(folder))
        scene = stage.Stage()
        try:
            scene.start_platform()
            scene.write_settings("fuel-desk", teams.example("fuel-desk"))
            for name, data_centre in (("plain-0", "plain"), ("tls-0", "tls")):
                scene.start_workers(data_centre, 1)
                authority.issue(name)
                secure = authority.variables(name) if name == "tls-0" else {}
                scene.start_instance(name, data_centre, env=secure)
            for name in scene.instances:
                trust = str(authority.path) if name == "tls-0" else None
                report(name, scene.instances[name], trust)
        finally:
            scene.close()


def report(name, address, trust):
    stage.wait_until(lambda: quote(opened(address, trust)), what=f"{name} ready")
    client = opened(address, trust)
    kept = sorted(timed(lambda: quote(client)) for _ in range(QUOTES))
    new = sorted(
        timed(lambda: quote(opened(address, trust))) for _ in range(NEW_CONNECTIONS)
    )
    for label, seconds in (("kept connection", kept), ("new connection", new)):
        p50, p99 = seconds[len(seconds) // 2], seconds[len(seconds) * 99 // 100]
        print(f"{name:8} {label:16} p50 {p50 * 1e3:.2f} ms  p99 {p99 * 1e3:.2f} ms")


def opened(address, trust):
    host, _, port = address.rpartition(":")
    options = {"ca_certs": trust} if trust else None
    return geventhttpclient.HTTPClient(
        host, port=int(port), ssl=trust is not None, ssl_options=options
    )


def quote(client):
    body = b'{"tail": "UP-B3701", "work_seconds": 0}'
    headers = teams.bearer("fuel-desk-token")
    answer = client.post("/v1/services/fuel/quote", body, headers)
    answer.read()
    return answer.status_code == 200


def timed(step):
    started = time.monotonic()
    assert step()
    return time.monotonic() - started


if __name__ == "__main__":
    main()
