"""Simulated store, workers and scheduler VMs, on one event loop with a fake clock."""

import json
import random

from lycheegate.jobs import model, progress, state
from lycheegate.metrics import duration_errors, histograms, jsonlog
from lycheegate.node import scheduler, storage, tables, terms
from lycheegate.node.tests import fake_store, fake_workers, idleness
from lycheegate.platform import workers as worker_calls

SMALL = model.Resources(1_000, 1_000, 1)
WHOLE = model.Resources(8_000, 8_000, 8)


class World:
    """A store, workers, and VMs that claim terms."""

    def __init__(self, seed: int, worker_count: int = 6):
        self.generator = random.Random(seed)
        self._jitter = random.Random(seed)
        self.loop = fake_store.EventLoop()
        self.faults = fake_store.Faults()
        self.store = fake_store.FakeStore(self.loop, self.faults, self.generator)
        self.fleet = fake_workers.Fleet(self.loop, self.faults, self.generator)
        self.fleet.on_returned = self._register_returned
        self.data_centres: dict[str, str] = {}
        """Data centre of each worker; ``z`` if it is not named."""
        self.evacuated: frozenset[str] = frozenset()
        """Data centres that are being evacuated."""
        self.policy = state.Policy()
        """Limits of the schedulers that claim a term from now on."""
        self.returns_under_new_ids = False
        """Whether a worker that is back after a crash has another identifier."""
        self.schedulers: dict[str, scheduler.Scheduler] = {}
        self.lines: list[bytes] = []
        self._stored_successes: dict[tuple[str, int], frozenset[model.TaskKey]] = {}
        self.route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
        self.urgent = model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.3)
        self.configuration = make_configuration(self.route, self.urgent)
        for number in range(worker_count):
            worker_id = f"w{number}"
            rack = f"r{number // 3}"
            self.fleet.add(worker_id, rack, model.Resources(16_000, 32_000, 8))
            self.register(worker_id)

    def register(
        self, worker_id: str, draining: bool = False, remaining_ms: int | None = None
    ) -> None:
        """Writes the registration of a worker."""
        worker = self.fleet.workers[worker_id]
        if not draining:
            worker.draining_since_s = None
        elif worker.draining_since_s is None:
            worker.draining_since_s = self.loop.now_s
        text = (
            f'{{"service":"render","address":"{worker.address}",'
            f'"zone":"{self.data_centres.get(worker_id, "z")}",'
            f'"state":"{"draining" if draining else "ready"}",'
            f'"capacity":{{"cpu":{worker.capacity.cpu_millicores},'
            f'"mem-mb":{worker.capacity.memory_mb},"gpu":{worker.capacity.accelerators}}},'
            f'"labels":{json.dumps(sorted(worker.labels))},"born":{worker.born_ms}'
        )
        text += "}" if remaining_ms is None else f',"remaining-ms":{remaining_ms}}}'
        self.store.put(storage.RowKey(worker_calls.REGISTRY_TABLE, "", worker_id), text.encode())

    def _register_returned(self, worker_id: str) -> None:
        """Writes the registration of a worker that is back after a crash."""
        if not self.returns_under_new_ids:
            self.register(worker_id)
            return
        crashed = self.fleet.workers[worker_id]
        new_id = f"{worker_id}+"
        self.fleet.replaced.add(worker_id)
        self.fleet.add(new_id, crashed.rack, crashed.capacity).address = crashed.address
        self.unregister(worker_id)
        self.register(new_id)

    def resize(self, worker_id: str, capacity: model.Resources) -> None:
        """Changes the capacity of a worker, which registers it."""
        self.fleet.workers[worker_id].resize(capacity)
        self.register(worker_id)

    def unregister(self, worker_id: str) -> None:
        """Deletes the registration of a worker."""
        key = storage.RowKey(worker_calls.REGISTRY_TABLE, "", worker_id)
        self.store.apply(storage.Transaction(deletes=(key,)))

    def watch_idleness(self) -> idleness.IdlenessCheck:
        """Watches from now on for jobs that have nothing running although a task could run."""

        def is_open(job_id: str) -> bool:
            is_cancelled = tables.get_cancel_key(job_id) in self.store.rows
            return not is_cancelled and self.read_status(job_id).outcome is None

        def is_usable(worker_id: str) -> bool:
            key = storage.RowKey(worker_calls.REGISTRY_TABLE, "", worker_id)
            is_draining = self.fleet.workers[worker_id].draining_since_s is not None
            return key in self.store.rows and not is_draining

        return idleness.IdlenessCheck(
            self.loop, self.fleet, is_open, is_usable, self._list_stored_successes
        )

    def _list_stored_successes(self, job_id: str) -> frozenset[model.TaskKey]:
        """Returns the tasks of an open job whose success is stored."""
        row = self.store.rows.get(tables.get_progress_key(job_id))
        if row is None:
            return frozenset()
        key = (job_id, row.version)
        if key not in self._stored_successes:
            job = state.JobState(self.fleet.specs[job_id], self.route)
            pages = [
                (k.key, r.value)
                for k, r in self.store.rows.items()
                if k.table == tables.PAGES and tables.split_page_key(k.key) == job_id
            ]
            contents = tuple(value for _, value in sorted(pages))
            progress.decode_progress(job, row.value, self.loop.now_s, contents)
            self._stored_successes[key] = frozenset(
                model.TaskKey(job_id, *step.key, index)
                for step in job.steps.values()
                for index in step.done
            )
        return self._stored_successes[key]

    def submit(self, job: model.Job, route: model.Route | None = None) -> None:
        """Writes a job as the node does when it accepts one."""
        self.fleet.specs[job.job_id] = job
        record = progress.encode_accepted(progress.AcceptedJob(job, route or self.route), 49_152)
        self.store.put(tables.get_job_key(job.job_id), record)

    def cancel(self, job_id: str) -> None:
        """Writes a cancellation as the node does when it accepts one."""
        self.store.put(tables.get_cancel_key(job_id), b"1")

    def claim_term(self, vm: str, claimed_at_s: float | None = None) -> scheduler.Scheduler:
        """Claims the next term for a VM, and starts its scheduler.

        Args:
            vm: Name of the VM.
            claimed_at_s: When the claim was sent, if the VM was suspended before its answer.
        """
        view = terms.TermView()
        rows = tuple(r for k, r in self.store.rows.items() if k.table == tables.TERMS)
        terms.apply_rows(view, rows, self.loop.now_s, int(self.loop.now_s * 1000))
        holder, transaction = terms.make_claim(view, vm, self.loop.now_s)
        version = self.store.apply(transaction).unwrap()
        runtime = scheduler.Runtime(
            self.store.connect(vm),
            self.fleet.connect(vm),
            self.loop.call_later,
            self.loop.read_clock_s,
            self.loop.read_clock_s,
            lambda: int(self.loop.now_s * 1000),
            lambda at_s: int(at_s * 1000) + 1,
            jsonlog.JsonLog(vm, self.loop.read_clock_s, self._log),
            histograms.Histograms(),
            duration_errors.DurationErrors(),
            self._jitter,
        )
        new_scheduler = scheduler.Scheduler(
            runtime,
            self.policy,
            holder,
            version,
            self.loop.now_s if claimed_at_s is None else claimed_at_s,
            self.configuration,
            state.Evacuations(self.evacuated, self.loop.now_s),
            terms.list_suspects(view, self.loop.now_s),
            terms.list_departures(view, self.loop.now_s),
            terms.find_lease_ends(view, self.loop.now_s),
            terms.find_lease_row(view),
            view.durations,
            lambda reason: None,
        )
        self.schedulers[vm] = new_scheduler
        new_scheduler.start()
        return new_scheduler

    def _log(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    def run(self, duration_s: float) -> None:
        """Advances the clock."""
        self.loop.run_until(self.loop.now_s + duration_s)

    def read_status(self, job_id: str) -> progress.JobStatus:
        """Returns the status that a caller would get."""
        row = self.store.rows.get(tables.get_progress_key(job_id))
        if row is None:
            assert tables.get_job_key(job_id) in self.store.rows, (
                f"accepted job {job_id} has no row"
            )
            return progress.JobStatus(None, False)
        return progress.decode_status(row.value)


def make_configuration(*routes: model.Route, guaranteed: int = 16) -> model.Configuration:
    """Returns a configuration with one client account."""
    account = model.Account("acme", frozenset({"k"}), guaranteed)
    return model.Configuration(
        1,
        {route.name: route for route in routes},
        {"render": model.Service("render")},
        {"acme": account},
        {"k": "acme"},
        100_000,
    )


def make_job(job_id: str, *steps: model.Step, route: str = "batch", **fields) -> model.Job:
    """Returns a job of the given steps."""
    account = fields.pop("account", "acme")
    return model.Job(job_id, route, account, f"spec-{job_id}", steps, 100.0, **fields)


def make_step(count: int = 1, need: model.Resources = SMALL, **fields) -> model.Step:
    """Returns a step of tasks that are declared to take a second."""
    return model.Step(count, need, 1.0, **fields)


def assert_all_succeed(world: World) -> None:
    """Asserts that all jobs have succeeded and that no worker has seen a violation."""
    for job_id in world.fleet.specs:
        assert world.read_status(job_id).outcome is model.Outcome.SUCCEEDED, job_id
    assert world.fleet.violations == []
