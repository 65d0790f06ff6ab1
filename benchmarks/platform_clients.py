"""Measures the HTTP client and the idle cost of the worker client against stand-ins.

The stand-ins run in a separate process, so that the processor time is that of the client alone.
``python -m benchmarks.platform_clients`` prints one measurement a line, as JSON.
"""

import argparse
import contextlib
import json
import queue
import random
import subprocess
import sys
import threading
import time
from collections.abc import Iterator

from lycheegate.clients import batching, http, table_client, workers
from lycheegate.clients import table as table_module
from lycheegate.core import events
from lycheegate.model import resources

__all__ = ["main"]

_START_TIMEOUT_S = 60.0


@contextlib.contextmanager
def _run_standins(name: str, count: int, *options: str) -> Iterator[list[str]]:
    """Runs stand-ins in a separate process and yields their addresses."""
    command = [sys.executable, "-m", f"standins.{name}", *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        lines = [process.stdout.readline() for _ in range(count)]
        yield [line.split("http://")[1].strip() for line in lines]
    finally:
        process.terminate()
        process.wait(_START_TIMEOUT_S)


def _print_figures(**figures: object) -> None:
    rounded = {k: round(v, 4) if isinstance(v, float) else v for k, v in figures.items()}
    print(json.dumps(rounded), flush=True)


def measure_requests(address: str, requests: int, concurrency: int) -> None:
    """Measures requests per second and processor time per request."""
    client = http.HttpClient()
    request = http.Request("GET", f"http://{address}/v1/tables/t/rows/none")
    permits = threading.Semaphore(concurrency)
    last_response = None
    began_s, cpu_s = time.monotonic(), time.process_time()
    for _ in range(requests):
        permits.acquire()
        last_response = client.send(request)
        last_response.add_done_callback(lambda _: permits.release())
    for _ in range(concurrency):
        permits.acquire()
    elapsed_s, used_s = time.monotonic() - began_s, time.process_time() - cpu_s
    client.close()
    _print_figures(
        measurement="http_requests",
        concurrency=concurrency,
        requests=requests,
        requests_per_s=requests / elapsed_s,
        cpu_us_per_request=used_s / requests * 1e6,
        connections=client.connections_made,
    )


def measure_writes(address: str, writes: int, threads: int, batched: bool) -> None:
    """Measures transactions per second of the table client, batched or one by one."""
    client = http.HttpClient()
    table = table_client.HttpTable(client, f"http://{address}", random.Random(1))
    if batched:
        table = batching.BatchingTable(table)

    def write(thread: int) -> None:
        for number in range(writes // threads):
            key = f"{threads}/{batched}/{thread}/{number}"
            put = table_module.Operation(table_module.OperationKind.PUT, "b", key, {"n": number}, 0)
            table.transact([put], 10.0).unwrap()

    writers = [threading.Thread(target=write, args=(number,)) for number in range(threads)]
    began_s, cpu_s = time.monotonic(), time.process_time()
    for thread in writers:
        thread.start()
    for thread in writers:
        thread.join()
    elapsed_s, used_s = time.monotonic() - began_s, time.process_time() - cpu_s
    client.close()
    _print_figures(
        measurement="table_writes",
        threads=threads,
        batched=batched,
        writes=writes,
        requests=client.requests_done,
        writes_per_s=writes / elapsed_s,
        cpu_us_per_write=used_s / writes * 1e6,
    )


def measure_idle_polls(addresses: list[str], duration_s: float) -> None:
    """Measures bytes per second and processor time of the polls of idle workers."""
    client = http.HttpClient()
    emitted: queue.Queue = queue.Queue()
    pool = workers.WorkerPool(client, "p", 1, emitted.put, print, random.Random(1))
    for number, address in enumerate(addresses):
        pool.add(resources.Worker(f"w{number}", address, "r", "dc", "rack", 8, 8))
    for _ in addresses:
        event = emitted.get(timeout=_START_TIMEOUT_S)
        assert isinstance(event, events.WorkerReported), event
    time.sleep(3.0)
    before = client.bytes_sent + client.bytes_received
    requests, began_s, cpu_s = client.requests_done, time.monotonic(), time.process_time()
    time.sleep(duration_s)
    elapsed_s, used_s = time.monotonic() - began_s, time.process_time() - cpu_s
    later_events = [emitted.get() for _ in range(emitted.qsize())]
    transferred = client.bytes_sent + client.bytes_received - before
    _print_figures(
        measurement="idle_polls",
        workers=len(addresses),
        duration_s=elapsed_s,
        bytes_per_s=transferred / elapsed_s,
        bytes_per_worker_s=transferred / elapsed_s / len(addresses),
        polls_per_s=(client.requests_done - requests) / elapsed_s,
        core_ratio=used_s / elapsed_s,
        false_losses=sum(isinstance(event, events.WorkerLost) for event in later_events),
        new_reports=sum(isinstance(event, events.WorkerReported) for event in later_events),
    )
    pool.close()
    client.close()


def main() -> None:
    """Runs all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--writes", type=int, default=4_000)
    parser.add_argument("--duration-s", type=float, default=24.0)
    parser.add_argument("--workers", type=int, nargs="*", default=[24, 120, 240])
    arguments = parser.parse_args()
    with _run_standins("table", 1) as addresses:
        for concurrency in (1, 16, 64):
            measure_requests(addresses[0], arguments.requests, concurrency)
        for threads in (1, 16, 64):
            for batched in (False, True):
                measure_writes(addresses[0], arguments.writes, threads, batched)
    for count in arguments.workers:
        options = ("--count", str(count), "--threads", "3")
        with _run_standins("worker", count, *options) as addresses:
            measure_idle_polls(addresses, arguments.duration_s)


if __name__ == "__main__":
    main()
