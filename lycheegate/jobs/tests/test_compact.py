"""Records of jobs whose progress is too large for a row."""

import random

import cbor2
import pytest

from lycheegate.jobs import compact, lifecycle, model, progress, state, writes
from lycheegate.utils import exceptions

LIMITS = progress.RecordLimits(49_152, 600_000)
JOB_ID = "5c0e7a21d94b36f8"
_ROUTE = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)


def _make_job(count: int, steps: int = 1) -> state.JobState:
    """Returns a job of which nothing has happened yet."""
    step = model.Step(count, model.Resources(100, 128, 0), 30.0, checkpoints=True)
    job = state.JobState(model.Job(JOB_ID, "batch", "acme", "x", (step,) * steps, 0.0), _ROUTE)
    job.next_occurrence = 1
    for number in range(steps):
        job.steps[0, number] = state.StepState((0, number), step)
    return job


def _fill(job: state.JobState, seed: int, workers: int, share: float, checkpoints: float) -> None:
    """Draws the progress of all tasks: some done, some running, some with checkpoints."""
    draw = random.Random(seed)
    for step in job.steps.values():
        step.last_failed_number = draw.choice([0, 2])
        for index in range(step.step.count):
            if draw.random() >= share:
                step.done.add(index)
                step.run_numbers[index] = draw.choice([1, 1, 1, 2])
                continue
            _add_run(step, index, draw, workers)
            if draw.random() < checkpoints:
                step.checkpoints[index] = f"{draw.getrandbits(64):016x}"
            if draw.random() < 0.01:
                step.failures[index] = 1
                step.crash_weights[index] = 5
                step.last_crashed_numbers[index] = 1


def _add_run(step: state.StepState, index: int, draw: random.Random, workers: int) -> None:
    worker = draw.randrange(workers)
    number = step.run_numbers[index] = draw.choice([1, 1, 2, 300])
    task = model.TaskKey(JOB_ID, *step.key, index)
    run = state.Run(
        task, f"i-7f3a91{worker:04x}", number, step.step.need, state.RunPhase.RUNNING, 1.0
    )
    run.worker_born_ms = draw.choice([0, 1_700_000_000_000 + worker])
    step.runs[index] = run


def _restore(job: state.JobState, record: progress.ProgressRecord) -> state.JobState:
    restored = state.JobState(job.job, _ROUTE)
    progress.decode_progress(restored, record.data, 5.0, record.pages)
    return restored


def _describe(job: state.JobState) -> list:
    """Returns what a record must preserve."""
    return [
        (job.outcome, job.started, job.next_occurrence),
        [
            (
                step.key,
                step.done,
                step.failures,
                step.run_numbers,
                {i: (r.worker_id, r.number, r.worker_born_ms) for i, r in step.runs.items()},
                {i: text for i, text in step.checkpoints.items() if i not in step.done},
                step.last_failed_number,
                step.crash_weights,
                step.last_crashed_numbers,
            )
            for step in job.steps.values()
        ],
    ]


@pytest.mark.parametrize(
    ("count", "workers", "share", "checkpoints", "is_compact", "has_pages"),
    [
        (72, 24, 1.0, 1.0, False, False),
        (1_000, 24, 1.0, 0.0, False, False),
        (5_000, 24, 1.0, 0.0, True, False),
        (5_000, 930, 0.5, 1.0, True, False),
        (20_000, 930, 0.5, 1.0, True, True),
        (100_000, 930, 0.5, 0.0, True, True),
    ],
)
def test_record_of_any_size_is_restored(count, workers, share, checkpoints, is_compact, has_pages):
    """Guards against progress that is lost in a record because of its size."""
    job = _make_job(count)
    _fill(job, count, workers, share, checkpoints)
    record = progress.encode_progress(job, LIMITS)
    assert (record.is_compact, bool(record.pages)) == (is_compact, has_pages)
    assert not record.omits_checkpoints
    assert max(map(len, (record.data, *record.pages))) <= LIMITS.row_bytes
    assert sum(map(len, record.pages)) <= LIMITS.total_bytes
    assert _describe(_restore(job, record)) == _describe(job)
    assert progress.decode_status(record.data) == progress.make_status(job)


@pytest.mark.parametrize("seed", range(20))
def test_compact_form_of_drawn_progress(seed):
    """Guards against compact steps that differ from plain ones; the naive form is the model."""
    job = _make_job(40, steps=2)
    _fill(job, seed, 5, 0.6, 0.5)
    plain = progress.encode_progress(job, LIMITS)
    assert not plain.is_compact
    small = progress.RecordLimits(len(plain.data) - 1, 600_000)
    record = progress.encode_progress(job, small)
    assert record.is_compact
    assert _describe(_restore(job, record)) == _describe(_restore(job, plain))


def test_checkpoints_are_omitted_before_runs():
    """Guards against a job that cannot be stored because of its checkpoints.

    Without them, a task starts from the beginning after a change of the holder; without its run, it
    would run twice.
    """
    job = _make_job(60_000)
    _fill(job, 1, 930, 1.0, 1.0)
    record = progress.encode_progress(job, LIMITS)
    assert record.omits_checkpoints
    assert sum(map(len, record.pages)) <= LIMITS.total_bytes
    restored = _restore(job, record)
    for step in (*job.steps.values(), *restored.steps.values()):
        step.checkpoints.clear()
    assert _describe(restored) == _describe(job)


def test_largest_record_fits_into_a_call():
    """Guards against a job that is accepted although its record fits into no call."""
    job = _make_job(100_000)
    _fill(job, 1, 930, 1.0, 0.0)
    write = writes._make_write(job, writes._make_limits(49_152))
    assert write.size_bytes <= 1_000_000 - 20_000
    assert write.entries <= writes.MAX_ENTRIES


@pytest.mark.parametrize(
    "change",
    [
        lambda fields, pages: (fields, pages[:-1]),
        lambda fields, pages: (fields, (*pages, b"x")),
        lambda fields, pages: (fields, (*pages[:-1], pages[-1][:-5])),
        lambda fields, pages: (fields, (b"\0" + pages[0], *pages[1:])),
        lambda fields, pages: ([*fields[:-1], b"\0"], ()),
        lambda fields, pages: ([*fields[:-1], []], ()),
        lambda fields, pages: ([*fields[:-1], compact.pack_steps([])[:-1]], ()),
        lambda fields, pages: ([3, *fields[1:]], pages),
    ],
)
def test_malformed_compact_record(change):
    """Guards against a record with missing or malformed pages that is restored in part."""
    job = _make_job(20_000)
    _fill(job, 2, 930, 0.5, 1.0)
    record = progress.encode_progress(job, LIMITS)
    fields, pages = change(cbor2.loads(record.data), record.pages)
    with pytest.raises(exceptions.ProtocolError):
        progress.decode_progress(_make_job(20_000), cbor2.dumps(fields), 5.0, pages)


def test_record_does_not_decompress_without_limit():
    """Guards against a malformed record that fills the memory of a VM."""
    data = compact.pack_steps([[[0, 0], range(20 << 20), {}, {}, {}, {}, 0]])
    assert len(data) < 1 << 20
    with pytest.raises(ValueError, match="decompress to over"):
        compact.unpack_steps(data)


@pytest.mark.parametrize(
    ("count", "steps", "expected"), [(1, 2, 50), (20_000, 2, 2), (90_000, 1, 1)]
)
def test_open_occurrences_are_limited_by_their_tasks(count, steps, expected):
    """Guards against a repeated job whose open occurrences together fit into no call."""
    step = model.Step(count, model.Resources(100, 128, 0))
    job = model.Job(JOB_ID, "batch", "acme", "x", (step,) * steps, 0.0, occurrences=100)
    current = state.SchedulerState(1, state.Policy(), 0.0)
    lifecycle.add_job(current, state.JobState(job, _ROUTE), 0.0, 0.0)
    assert current.jobs[JOB_ID].next_occurrence == expected


@pytest.mark.parametrize(
    "packed", [b"", b"\0", 1, compact.compress(b"\xff"), compact.compress(b"")]
)
def test_malformed_compact_job(packed):
    """Guards against a malformed row of a job that raises while a term begins."""
    step = model.Step(1, model.Resources(100, 128, 0))
    job = model.Job(JOB_ID, "batch", "acme", "x", (step,) * 3_000, 0.0)
    data = progress.encode_accepted(progress.AcceptedJob(job, _ROUTE), 49_152)
    assert progress.decode_accepted(JOB_ID, data).job == job
    fields = cbor2.loads(data)
    fields[3] = packed
    with pytest.raises(exceptions.ProtocolError):
        progress.decode_accepted(JOB_ID, cbor2.dumps(fields))
