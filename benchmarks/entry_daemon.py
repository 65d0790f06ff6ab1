"""Measures entry processes: ``python -m benchmarks.entry_daemon``; takes at most about two minutes.

Stand-ins and callers share one Python process and compete for its processor time, so the measured
rates are lower bounds.
"""

import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import Callable, Sequence

from demo import client, deployment
from lycheegate.keys import tokens

SEQUENTIAL_COUNT = 400
SPACED_COUNT = 200
RATE_SECONDS_S = 6.0
RATE_THREADS = 8
KILL_ROUNDS = 5
RELEASE_ROUNDS = 12
LIMIT_S = 40.0
JOB_CLASSES = {"preview": {"urgency": "urgent", "idempotent": True, "shape": {"accelerators": 1}}}
LIMITS = {"rate_per_caller_per_s": 100000, "burst_per_caller": 100000}


def _deploy(directory: str, entry_count: int):
    place = deployment.Place("r1", "dc1", "rack1")
    return deployment.deploy(
        pathlib.Path(directory),
        {f"e{number}": place for number in range(entry_count)},
        {f"w{number}": place for number in range(3)},
        JOB_CLASSES,
        limits=LIMITS,
    )


def _apply_release_note(running: deployment.Deployment, text: str) -> int:
    address = running.entries["e0"].address
    path = "/v1/operator/release/apply"

    def apply() -> client.Reply | None:
        reply = client.call(address, "POST", path, running.operator_token, text.encode())
        return reply if reply.status == 200 else None

    return deployment.wait_until(apply, LIMIT_S, "release applied").body["number"]


def _is_in_force(address: str, number: int) -> bool:
    reply = client.call(address, "GET", "/v1/ready", "")
    return reply.status == 200 and reply.body["release"] >= number


def _set_up(running: deployment.Deployment) -> str:
    token = tokens.make_token()
    text = (
        "base: 0\nclient_accounts: {added: [{name: studio}]}\ncallers: {added: [{name: c, "
        f"client_account: studio, brand_desk: desk, token_hash: {tokens.hash_token(token)}}}]}}\n"
    )
    _apply_release_note(running, text)
    running.wait_until_owned(["dc1/0"])
    for entry in running.entries.values():
        deployment.wait_until(
            lambda entry=entry: _is_in_force(entry.address, 1), LIMIT_S, "release"
        )
    return token


def _quantile(values: Sequence[float], ratio: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def _print_percentiles(
    name: str, values_s: Sequence[float], scale: float = 1000.0, unit: str = "ms"
) -> None:
    print(
        f"{name}: n={len(values_s)} p50={_quantile(values_s, 0.5) * scale:.2f} "
        f"p99={_quantile(values_s, 0.99) * scale:.2f} max={max(values_s) * scale:.2f} {unit}"
    )


class _Connection:
    """Persistent HTTP connection."""

    def __init__(self, address: str, token: str = ""):
        self._connection = http.client.HTTPConnection(address, timeout=LIMIT_S)
        self._headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}

    def call(self, method: str, path: str, body: object = None, **headers: str):
        data = None if body is None else json.dumps(body)
        self._connection.request(method, path, data, {**self._headers, **headers})
        response = self._connection.getresponse()
        return response.status, response.read()


def _submit_and_wait(connection: _Connection) -> None:
    body = {"class": "preview", "payload": {"answer": "x"}, "wait_s": 20}
    key = {"Idempotency-Key": uuid.uuid4().hex}
    status, _ = connection.call("POST", "/v1/requests", body, **key)
    if status != 200:
        raise AssertionError(f"POST /v1/requests: expected status 200, got {status}")


def _call_worker(connection: _Connection, position: int) -> int:
    """Runs a task on a worker and reads its answer; returns the new event position."""
    task_id = uuid.uuid4().hex
    order = {
        "request_id": task_id,
        "partition": "bench",
        "epoch": 1,
        "accelerators": [7],
        "payload": {"answer": "x"},
    }
    connection.call("PUT", f"/v1/tasks/{task_id}", order)
    _, data = connection.call("GET", f"/v1/events?after={position}&wait_s=5")
    connection.call("GET", f"/v1/tasks/{task_id}/answer")
    connection.call("DELETE", f"/v1/tasks/{task_id}?epoch=1&partition=bench")
    return json.loads(data)["next"]


def _time_calls(function: Callable[[], object], count: int, pause_s: float = 0.0) -> list[float]:
    durations_s = []
    for _ in range(count):
        time.sleep(pause_s)
        began_s = time.perf_counter()
        function()
        durations_s.append(time.perf_counter() - began_s)
    return durations_s


def _read_cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_rss_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_one_entry() -> None:
    """Measures latency, rate, processor time and memory of one entry process."""
    with tempfile.TemporaryDirectory() as directory, _deploy(directory, 1) as running:
        token = _set_up(running)
        entry = running.entries["e0"]
        idle_mb = _read_rss_mb(entry.process.pid)
        began_s, cpu_s = time.monotonic(), _read_cpu_s(entry.process.pid)
        time.sleep(5.0)
        idle_s = _read_cpu_s(entry.process.pid) - cpu_s
        print(f"idle processor time: {100 * idle_s / (time.monotonic() - began_s):.2f} % of a core")
        connection = _Connection(entry.address, token)
        _time_calls(lambda: _submit_and_wait(connection), 50)
        through_s = _time_calls(lambda: _submit_and_wait(connection), SEQUENTIAL_COUNT)
        # The worker client waits 20 ms between polls that return events, so back-to-back requests
        # wait for the next poll.
        spaced_s = _time_calls(lambda: _submit_and_wait(connection), SPACED_COUNT, 0.05)
        worker = _Connection(running.workers["w2"].address)
        events = json.loads(worker.call("GET", f"/v1/events?after={2**53 - 1}&wait_s=0")[1])
        next_position = [events["next"]]

        def call_worker() -> None:
            next_position[0] = _call_worker(worker, next_position[0])

        direct_s = _time_calls(call_worker, SEQUENTIAL_COUNT)
        _print_percentiles("through one entry process", through_s)
        _print_percentiles("through one entry process, 50 ms apart", spaced_s)
        _print_percentiles("worker called directly (4 calls)", direct_s)
        for label, entry_s in (("back to back", through_s), ("50 ms apart", spaced_s)):
            for name, ratio in (("p50", 0.5), ("p99", 0.99)):
                added_s = _quantile(entry_s, ratio) - _quantile(direct_s, ratio)
                print(f"added latency {name}, {label}: {added_s * 1000:.2f} ms")
        _measure_rate(entry, token)
        print(f"resident memory after load: {_read_rss_mb(entry.process.pid):.1f} MB")
    libraries_mb = _measure_libraries_mb()
    print(
        f"resident memory of an idle entry process: {idle_mb:.1f} MB, of it libraries "
        f"{libraries_mb:.1f} MB, state {idle_mb - libraries_mb:.1f} MB"
    )


def _measure_rate(entry: deployment.EntryProcess, token: str) -> None:
    ends_s = time.monotonic() + RATE_SECONDS_S

    def submit_until_end() -> int:
        connection, done = _Connection(entry.address, token), 0
        while time.monotonic() < ends_s:
            _submit_and_wait(connection)
            done += 1
        return done

    cpu_s, began_s = _read_cpu_s(entry.process.pid), time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(RATE_THREADS) as pool:
        done = sum(
            future.result()
            for future in [pool.submit(submit_until_end) for _ in range(RATE_THREADS)]
        )
    elapsed_s = time.monotonic() - began_s
    used_s = _read_cpu_s(entry.process.pid) - cpu_s
    print(
        f"rate with {RATE_THREADS} callers: {done / elapsed_s:.0f} requests/s, processor time "
        f"{1000 * used_s / done:.2f} ms/request"
    )


def _measure_libraries_mb() -> float:
    """Returns the resident memory of a process that only imports the modules of the daemon."""
    program = "import lycheegate.entry.daemon, sys; print('ready', flush=True); sys.stdin.read()"
    with subprocess.Popen(
        [sys.executable, "-c", program], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        process.stdout.readline()
        used_mb = _read_rss_mb(process.pid)
        process.stdin.close()
    return used_mb


def measure_takeover() -> None:
    """Measures the time from ``kill -9`` of the owner to the answer to the next urgent request."""
    durations_s = []
    with tempfile.TemporaryDirectory() as directory, _deploy(directory, 3) as running:
        token = _set_up(running)
        for _ in range(KILL_ROUNDS):
            owner = running.read_lease("dc1/0")["owner"]
            survivors = [entry.address for name, entry in running.entries.items() if name != owner]
            caller = client.Caller(token, lambda addresses=survivors: addresses)
            began_s = time.monotonic()
            running.entries[owner].send_signal(signal.SIGKILL)
            result = caller.run(uuid.uuid4().hex, "preview", {"answer": "x"}, LIMIT_S)
            durations_s.append(time.monotonic() - began_s)
            if result.end != "answered":
                raise AssertionError(
                    f"request after kill of {owner}: expected an answer, got {result}"
                )
            started = running.start_entry(owner)
            started.wait_until_listening()
            deployment.wait_until(
                lambda entry=started: _is_in_force(entry.address, 1), LIMIT_S, "restart"
            )
            time.sleep(5.0)  # Allows a handover to the restarted process to complete.
    print(
        f"kill -9 of the owner to the next urgent answer: n={len(durations_s)} "
        f"min={min(durations_s):.2f} median={statistics.median(durations_s):.2f} "
        f"max={max(durations_s):.2f} s"
    )


def measure_release() -> None:
    """Measures the time from the apply call until a release is in force on 8 entry processes."""
    durations_s = []
    with tempfile.TemporaryDirectory() as directory, _deploy(directory, 8) as running:
        _set_up(running)
        addresses = [entry.address for entry in running.entries.values()]
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for number in range(1, RELEASE_ROUNDS + 1):
                text = (
                    f"base: {number}\nclient_accounts: {{changed: "
                    f"[{{name: studio, quota_accelerators: {number + 10}}}]}}\n"
                )
                began_s = time.monotonic()
                accepted = _apply_release_note(running, text)
                waits = [
                    pool.submit(
                        deployment.wait_until,
                        lambda address=address, n=accepted: _is_in_force(address, n),
                        LIMIT_S,
                        "release",
                    )
                    for address in addresses
                ]
                for wait in waits:
                    wait.result()
                durations_s.append(time.monotonic() - began_s)
    _print_percentiles("release in force on 8 entry processes", durations_s)


def main() -> None:
    """Runs all measurements, or those named on the command line."""
    measurements = {
        "entry": measure_one_entry,
        "takeover": measure_takeover,
        "release": measure_release,
    }
    for name in sys.argv[1:] or measurements:
        measurements[name]()


if __name__ == "__main__":
    main()
