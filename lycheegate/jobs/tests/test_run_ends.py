"""Log of the ends of runs: cause and lost work."""

import pytest

from lycheegate.jobs import commands, lifecycle, model, runs, scheduling, state, writes

_CAPACITY = model.Resources(8_000, 8_000, 8)
_ROUTE = model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0)


def _start_run(checkpoints: bool) -> tuple[state.SchedulerState, state.Run]:
    """Returns a state with a run of 1 core and 1 accelerator that began at 2 s."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    current.workers["w0"] = state.WorkerState(
        "w0",
        "render",
        "a:1",
        "z",
        "r0",
        frozenset(),
        _CAPACITY,
        _CAPACITY,
        incarnation=state.Incarnation(confirmed=True),
    )
    current.workers["w0"].reported_at_s = 1.0
    step = model.Step(1, model.Resources(1_000, 1_000, 1), 60.0, checkpoints=checkpoints)
    job = state.JobState(model.Job("0" * 16, "batch", "acme", "x", (step,), 0.0), _ROUTE)
    lifecycle.add_job(current, job, 0.0, 0.0)
    scheduling.schedule(current, 1.0, 1.0)
    writes.complete_batch(current, writes.collect_batch(current, 1.0), 2, 1.0)
    (run,) = job.list_runs()
    runs.record_start_confirmed(current, run, 2.0)
    return current, run


@pytest.mark.parametrize(
    ("checkpoint", "end", "stopped", "expected"),
    [
        ("", runs.End.INTERRUPTED, state.StopReason.PREEMPTED, {"lost_core_s": 45.0}),
        ("c", runs.End.INTERRUPTED, state.StopReason.CANCELLED, {"lost_core_s": 0.0}),
        ("", runs.End.FAILED, None, {"lost_core_s": 45.0}),
        ("", runs.End.DONE, None, {}),
    ],
)
def test_end_of_a_run_is_logged_with_its_loss(checkpoint, end, stopped, expected):
    """Guards against lost work whose cause cannot be found in the logs."""
    current, run = _start_run(bool(checkpoint))
    if stopped is not None:
        runs.stop_run(current, run, stopped, 5.0)
        expected = {**expected, "stopped": stopped.value}
    run.checkpoint = checkpoint
    result = runs.end_run(current, run, end, "reported", 7.0)
    (fields,) = [c.fields for c in result if isinstance(c, commands.Decision)]
    found = {name: fields[name] for name in ("stopped", "lost_core_s") if name in fields}
    assert found == expected
    assert fields["end"] == "reported"
