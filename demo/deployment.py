"""Deployment on loopback: stand-ins in this process, each entry VM in a process of its own."""

import contextlib
import dataclasses
import datetime
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import yaml

from lycheegate.keys import tokens
from standins import objects, table, vms, worker

__all__ = ["Deployment", "EntryProcess", "Place", "deploy", "wait_until"]

PEER_KEY = "loopback-peer-key-of-tests-and-demo-only"
START_LIMIT_S = 30.0

STACK_DUMP_S = 0.5
"""Time for the processes to write the stacks of their threads."""

MAX_LOG_CHARACTERS = 8000
"""Length of the end of each log that ``collect_logs`` returns; a start takes about 1,000."""

MAX_STACK_CHARACTERS = 20000
"""Length of the stacks of each process that ``collect_logs`` returns; those of the idle threads,
which are equal, are merged before."""

MAX_STATE_LINES = 40
"""Number of rows of each table, and of tasks of each worker, that ``describe_state`` returns."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Location of a VM."""

    region: str
    data_centre: str
    rack: str = ""


def wait_until(condition: Callable[[], Any], limit_s: float, description: str) -> Any:
    """Polls a condition and returns its first true value.

    Raises:
        AssertionError: The condition was not true within the limit.
    """
    ends_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= ends_s:
            raise AssertionError(f"timed out after {limit_s} s: {description}")
        time.sleep(0.02)


class EntryProcess:
    """Process of one entry VM."""

    def __init__(self, vm_id: str, path: pathlib.Path, log_path: pathlib.Path):
        self.vm_id = vm_id
        self.address = ""
        self.log_path = log_path
        self._listening = threading.Event()
        # The log goes to a file: the process would block on a full pipe that nobody reads.
        with log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lycheegate.entry", str(path)],
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )
        threading.Thread(target=self._read_address, daemon=True).start()

    def _read_address(self) -> None:
        for line in self.process.stdout:
            name, _, url = line.decode().strip().partition(" http://")
            if name == "entry":
                self.address = url
                self._listening.set()

    def wait_until_listening(self) -> None:
        """Waits until the process accepts calls.

        Raises:
            AssertionError: The process exited or did not listen within ``START_LIMIT_S``.
        """
        wait_until(
            lambda: self._listening.is_set() or self.process.poll() is not None,
            START_LIMIT_S,
            f"{self.vm_id} listening",
        )
        if not self._listening.is_set():
            raise AssertionError(
                f"{self.vm_id} exited with status {self.process.returncode} before listening; "
                f"end of its log: {self.read_log()[-2000:]}"
            )

    def read_log(self) -> str:
        """Returns the log of the process."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kills the process if it is running and waits for its exit."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10.0)
        self.process.stdout.close()


@dataclasses.dataclass
class Deployment:
    """Running stand-ins and entry VMs.

    Attributes:
        table: Table service.
        objects: Object store.
        vms: VM list.
        workers: Workers by identifier.
        entries: Entry VMs by identifier.
        operator_token: Token of the operator.
        directory: Directory of the settings and logs.
    """

    table: table.TableStandin
    objects: objects.ObjectsStandin
    vms: vms.VmsStandin
    workers: dict[str, worker.WorkerStandin]
    entries: dict[str, EntryProcess]
    operator_token: str
    directory: pathlib.Path
    _worker_places: Mapping[str, Place]
    _entry_places: Mapping[str, Place]
    _settings: Mapping[str, Any]

    def publish_vms(self, leaving: Sequence[str] = (), without: Sequence[str] = ()) -> None:
        """Publishes the VM list.

        Args:
            leaving: Workers to list as leaving.
            without: VMs to omit.
        """
        records = [
            vms.VmRecord(
                vm_id=vm_id,
                kind="entry",
                region=place.region,
                data_centre=place.data_centre,
            )
            for vm_id, place in self._entry_places.items()
            if vm_id not in without
        ]
        for vm_id, place in self._worker_places.items():
            if vm_id not in without:
                records.append(
                    vms.VmRecord(
                        vm_id=vm_id,
                        endpoint=self.workers[vm_id].address,
                        region=place.region,
                        data_centre=place.data_centre,
                        rack=place.rack,
                        slots=8,
                        accelerators=8,
                        state="leaving" if vm_id in leaving else "live",
                    )
                )
        self.vms.set_vms(*records)

    def start_entry(self, vm_id: str) -> EntryProcess:
        """Starts or restarts an entry VM."""
        if vm_id in self.entries:
            self.entries[vm_id].stop()
        path = self.directory / f"{vm_id}.yaml"
        started = EntryProcess(vm_id, path, self.directory / f"{vm_id}.log")
        self.entries[vm_id] = started
        return started

    def read_lease(self, partition: str) -> dict[str, Any] | None:
        """Returns the lease of a partition, or None if it has none."""
        row = self.table.rows.get("partition", partition)
        return row.value if row is not None else None

    def wait_until_owned(self, partitions: Sequence[str], limit_s: float = 30.0) -> None:
        """Waits until each partition has an unreleased lease owned by one of the entry VMs."""

        def is_owned(partition: str) -> bool:
            lease = self.read_lease(partition)
            return lease is not None and not lease["released"] and lease["owner"] in self.entries

        wait_until(lambda: all(map(is_owned, partitions)), limit_s, f"owners of {partitions}")

    def collect_logs(self) -> str:
        """Returns the state of the stand-ins, and the end of each log and the stacks after it.

        Processes that are suspended are resumed.
        """
        state = self.describe_state()
        logs = {vm_id: entry.read_log() for vm_id, entry in self.entries.items()}
        # The signal ends a process that has not yet registered its handler.
        statuses = {vm_id: entry.process.poll() for vm_id, entry in self.entries.items()}
        for entry in self.entries.values():
            if entry.process.poll() is None:
                entry.send_signal(signal.SIGCONT)
                entry.send_signal(signal.SIGUSR1)
        time.sleep(STACK_DUMP_S)
        lines = [state]
        for vm_id, entry in self.entries.items():
            stacks = entry.read_log()[len(logs[vm_id]) :]
            lines.append(f"== log of {vm_id}, exit status {statuses[vm_id]}")
            lines.append(logs[vm_id][-MAX_LOG_CHARACTERS:])
            lines.append(f"== stacks of {vm_id} and lines logged meanwhile")
            lines.append(_merge_equal_stacks(stacks)[:MAX_STACK_CHARACTERS])
        return "\n".join(lines)

    def describe_state(self) -> str:
        """Returns the rows of the table service and the tasks of the workers, one a line.

        They show whether a request has a record, an attempt or an end, which entry VM owns its
        partition, and what its worker knows of it.
        """
        now = datetime.datetime.now(datetime.UTC)
        lines = [f"== table service at {now:%Y-%m-%dT%H:%M:%S.%f}Z"]
        for name in ("member", "partition", "open", "request"):
            rows = self.table.rows.list_rows(name)
            lines.extend(
                f"{name} {row.key} version={row.version} {_describe_row(row.value)}"
                for row in rows[:MAX_STATE_LINES]
            )
            if len(rows) > MAX_STATE_LINES:
                lines.append(f"{name}: {len(rows) - MAX_STATE_LINES} more rows")
        for vm_id, standin in self.workers.items():
            lines.append(f"== worker {vm_id} starts={standin.get_starts()}")
            tasks = list(standin.list_tasks().items())
            lines.extend(f"{task_id} {state}" for task_id, state in tasks[:MAX_STATE_LINES])
            if len(tasks) > MAX_STATE_LINES:
                lines.append(f"{len(tasks) - MAX_STATE_LINES} more tasks")
        return "\n".join(lines)

    def count_starts(self) -> dict[str, dict[int, int]]:
        """Returns the task starts on all workers, by request identifier and member."""
        totals: dict[str, dict[int, int]] = {}
        for standin in self.workers.values():
            for request_id, members in standin.get_starts().items():
                member_totals = totals.setdefault(request_id, {})
                for member, count in members.items():
                    member_totals[member] = member_totals.get(member, 0) + count
        return totals


def _describe_row(value: Any) -> str:
    """Returns a row without its payload, which may be large."""
    if not isinstance(value, dict):
        return repr(value)
    return repr({name: part for name, part in value.items() if name != "payload"})


def _merge_equal_stacks(dump: str) -> str:
    """Returns a dump of ``faulthandler`` in which each distinct stack occurs once."""
    thread_names: dict[str, list[str]] = {}
    for stack in dump.split("\n\n"):
        header, _, frames = stack.partition("\n")
        thread_names.setdefault(frames, []).append(header)
    return "\n\n".join(
        f"{len(headers)} x {headers[0]}\n{frames}" for frames, headers in thread_names.items()
    )


@contextlib.contextmanager
def deploy(
    directory: pathlib.Path,
    entries: Mapping[str, Place],
    workers: Mapping[str, Place],
    job_classes: Mapping[str, Any],
    policy: Mapping[str, Any] | None = None,
    limits: Mapping[str, Any] | None = None,
    start: bool = True,
) -> Iterator[Deployment]:
    """Runs a deployment; stops its stand-ins and entry VMs on exit."""
    with contextlib.ExitStack() as stack:

        def run(standin: Any) -> Any:
            standin.start()
            stack.callback(standin.stop)
            return standin

        table_standin = run(table.TableStandin())
        objects_standin = run(objects.ObjectsStandin())
        vms_standin = run(vms.VmsStandin())
        token = tokens.make_token()
        settings = {
            "platform": {
                "table": f"http://{table_standin.address}",
                "objects": f"http://{objects_standin.address}",
                "vms": f"http://{vms_standin.address}",
            },
            "peer_key": PEER_KEY,
            "operators": [{"name": "op", "token_hash": tokens.hash_token(token)}],
            "job_classes": dict(job_classes),
            "policy": dict(policy or {}),
            "limits": dict(limits or {}),
        }
        deployment = Deployment(
            table_standin,
            objects_standin,
            vms_standin,
            {vm_id: run(worker.WorkerStandin()) for vm_id in workers},
            {},
            token,
            directory,
            workers,
            entries,
            settings,
        )
        deployment.publish_vms()
        stack.callback(lambda: [entry.stop() for entry in deployment.entries.values()])
        for vm_id, place in entries.items():
            document = {
                **settings,
                "vm_id": vm_id,
                "region": place.region,
                "data_centre": place.data_centre,
                # The operating system chooses the ports; peers find each other through the table.
                "callers_address": "127.0.0.1:0",
                "peers_address": "127.0.0.1:0",
            }
            path = directory / f"{vm_id}.yaml"
            path.write_text(yaml.safe_dump(document), encoding="utf-8")
        try:
            if start:
                for vm_id in entries:
                    deployment.start_entry(vm_id)
                for entry in deployment.entries.values():
                    entry.wait_until_listening()
            yield deployment
        except BaseException:
            print(deployment.collect_logs(), file=sys.stderr)
            raise
