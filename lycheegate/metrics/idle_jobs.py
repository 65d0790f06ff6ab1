"""Jobs that had nothing running for a while, from the decision logs of several VMs.

The logs name placements, orders to stop and ends of runs, but no confirmed starts. A placement ends
a wait unless its run turns out never to have run, or a later line of the scheduler says so.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from lycheegate.metrics import log_records

__all__ = ["COLUMNS", "MIN_IDLE_S", "IdleReport", "IdleTime", "find_idle_jobs", "list_rows"]

COLUMNS = ("job", "from s", "to s", "until", "reasons", "holders")
MIN_IDLE_S = 3.0
"""Time without a run from which a job is listed."""
MIN_REPORTED_S = 2.0
"""Time without a run from which a holder names a job in a line about another one."""
END_OF_LOGS = "end_of_logs"
MAX_TIME_S = 1e12
"""Limit of the times in log lines, far above those of any clock."""
ROUNDING_S = 0.01
"""Allowance for the rounding of logged times to milliseconds."""
_REFUSED_ENDS = frozenset({"unanswered", "start_refused"})
"""Why runs were stopped or removed that never ran."""
_INFERRED_ENDS = frozenset({"absent", "lease_lapsed", "worker_unlisted", "worker_replaced"})
"""Ends that the scheduler infers; they do not show that the run existed until then."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleTime:
    """A time for which a job had nothing running.

    Attributes:
        job_id: The job.
        from_s: When it began, on the clock of the log lines.
        to_s: When it ended.
        until: Event that ended it, or ``END_OF_LOGS``.
        reasons: Reasons that a holder has logged for it, each once, in order.
        holders: VMs that became holder during it: time, name and epoch.
    """

    job_id: str
    from_s: float
    to_s: float
    until: str
    reasons: tuple[str, ...]
    holders: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IdleReport:
    """Result of reading the logs.

    Attributes:
        idle: Times without a run, in order of their begin.
        skipped: Number of lines that could not be read.
        dropped: Number of lines that the VMs did not write because of the limits of their logs.
    """

    idle: list[IdleTime]
    skipped: int
    dropped: int


@dataclasses.dataclass(slots=True)
class _Placement:
    """Runs that were placed together.

    Attributes:
        step: Occurrence and step.
        run: Their number.
        workers: Their workers.
        remaining: Number of those that have not ended.
    """

    step: str
    run: int
    workers: frozenset[str]
    remaining: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """A wait that has ended.

    Attributes:
        from_s: When it began.
        to_s: When it ended.
        until: Event that ended it.
        reasons: Reasons that were logged during it, with their times.
    """

    from_s: float
    to_s: float
    until: str
    reasons: tuple[tuple[float, str], ...]


@dataclasses.dataclass(slots=True)
class _JobHistory:
    """What the lines so far tell about a job.

    Attributes:
        job_id: The job.
        version: Highest version of its row that a line named; a higher one is that of a new job.
        is_timed: Whether its occurrences have due times, before which nothing runs as intended.
        is_open: Whether it has not ended.
        idle_since_s: From when on it has had nothing running, or None while something runs.
        placed_at_s: When a run was placed that may have ended the wait, or None.
        placements: Runs that were placed and have not ended.
        stopped: Task and number of the runs that were ordered to stop.
        reasons: Reasons that were logged since the begin of the wait, with their times.
        waits: Its waits that have ended.
    """

    job_id: str
    version: int = 0
    is_timed: bool = False
    is_open: bool = True
    idle_since_s: float | None = None
    placed_at_s: float | None = None
    placements: list[_Placement] = dataclasses.field(default_factory=list)
    stopped: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    reasons: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    waits: list[_Wait] = dataclasses.field(default_factory=list)


class _MalformedError(ValueError):
    """A line lacks a field, or has one of another type."""


def find_idle_jobs(lines: Iterable[str], min_idle_s: float = MIN_IDLE_S) -> IdleReport:
    """Returns the times for which jobs had nothing running.

    Args:
        lines: Log lines of all VMs, in any order. Their clocks are taken as equal.
        min_idle_s: Shortest time to return.
    """
    records: list[tuple[float, dict[str, Any]]] = []
    skipped = dropped = 0
    for text in lines:
        if not text.strip():
            continue
        record = log_records.parse_record(text)
        if record is None or not _is_time(record.get("t")):
            skipped += 1
            continue
        records.append((record["t"], record))
        if _is_count(record.get("dropped")):
            dropped += record["dropped"]
    records.sort(key=lambda item: item[0])
    reader = _Reader(min_idle_s)
    for now_s, record in records:
        try:
            reader.apply(now_s, record)
        except _MalformedError:
            skipped += 1
    reader.finish(records[-1][0] if records else 0.0)
    return IdleReport(reader.list_idle(), skipped, dropped)


def list_rows(idle: Iterable[IdleTime]) -> list[tuple]:
    """Returns one row for each time, with the columns ``COLUMNS``."""
    return [dataclasses.astuple(item) for item in idle]


class _Reader:
    """Follows the jobs through the records, in the order of their times."""

    def __init__(self, min_idle_s: float):
        self._min_idle_s = min_idle_s
        self._histories: dict[str, _JobHistory] = {}
        self._terms: list[tuple[float, str]] = []
        self._handlers: dict[str, Callable[[float, dict[str, Any]], None]] = {
            "job_accepted": self._handle_accepted,
            "job_seen": self._handle_accepted,
            "placed": self._handle_placed,
            "start_refused": self._handle_refused,
            "stop_ordered": self._handle_stopped,
            "run_ended": self._handle_run_ended,
            "job_waiting": self._handle_waiting,
            "job_resumed": self._handle_resumed,
            "job_succeeded": self._handle_job_ended,
            "job_failed": self._handle_job_ended,
            "job_cancelled": self._handle_job_ended,
            "term_loaded": self._handle_term,
        }

    def apply(self, now_s: float, record: dict[str, Any]) -> None:
        """Applies a record; raises ``_MalformedError`` without effect if a field is missing."""
        event = record["event"]
        handler = self._handlers.get(event) if isinstance(event, str) else None
        if handler is not None:
            handler(now_s, record)

    def finish(self, now_s: float) -> None:
        """Ends the waits of the jobs that are open at the end of the logs."""
        for history in self._histories.values():
            if history.is_open:
                self._end_wait(history, now_s, END_OF_LOGS)

    def list_idle(self) -> list[IdleTime]:
        """Returns the waits that were long enough, with the changes of the holder during them."""
        idle = [
            self._make_idle_time(history, wait)
            for history in self._histories.values()
            for wait in history.waits
            if wait.to_s - wait.from_s >= self._min_idle_s
            and (wait.reasons or not history.is_timed)
        ]
        return sorted(idle, key=lambda item: (item.from_s, item.job_id))

    def _make_idle_time(self, history: _JobHistory, wait: _Wait) -> IdleTime:
        reasons = dict.fromkeys(text for at_s, text in wait.reasons)
        holders = [text for at_s, text in self._terms if wait.from_s <= at_s <= wait.to_s]
        return IdleTime(
            history.job_id, wait.from_s, wait.to_s, wait.until, tuple(reasons), tuple(holders)
        )

    def _find(self, record: dict[str, Any], now_s: float) -> _JobHistory:
        """Returns the history of a record's job; one that is not known begins with the record."""
        return self._find_job(_get_text(record, "job"), now_s)

    def _find_job(self, job_id: str, now_s: float) -> _JobHistory:
        history = self._histories.get(job_id)
        if history is None:
            history = self._histories[job_id] = _JobHistory(job_id, idle_since_s=now_s)
        return history

    def _end_wait(self, history: _JobHistory, now_s: float, until: str) -> None:
        """Records the wait of a job, which a placement has ended if there is one."""
        if history.idle_since_s is not None:
            to_s = now_s
            if history.placed_at_s is not None:
                to_s, until = history.placed_at_s, "placed"
            reasons = tuple(item for item in history.reasons if item[0] <= to_s)
            history.waits.append(_Wait(history.idle_since_s, to_s, until, reasons))
        history.idle_since_s = history.placed_at_s = None
        history.reasons = []

    def _handle_accepted(self, now_s: float, record: dict[str, Any]) -> None:
        version = _get_count(record, "version")
        history = self._find(record, now_s)
        # An acceptance may be logged after the job has ended, when its answer arrives late.
        if not history.is_open and version > history.version:
            history.is_open, history.idle_since_s = True, now_s
            history.placements, history.stopped = [], set()
        history.version = max(history.version, version)
        history.is_timed = history.is_timed or record.get("timed") is True

    def _handle_placed(self, now_s: float, record: dict[str, Any]) -> None:
        names = record.get("workers")
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise _MalformedError("workers")
        placement = _Placement(
            _get_text(record, "step"),
            _get_count(record, "run"),
            frozenset(names),
            _get_count(record, "tasks"),
        )
        history = self._find(record, now_s)
        history.placements.append(placement)
        if history.idle_since_s is not None and history.placed_at_s is None:
            history.placed_at_s = now_s

    def _handle_refused(self, now_s: float, record: dict[str, Any]) -> None:
        run, worker = _get_count(record, "run"), _get_text(record, "worker")
        history = self._find(record, now_s)
        if _remove_run(history, None, run, worker):
            self._record_removal(history, now_s, has_run=False)

    def _handle_stopped(self, now_s: float, record: dict[str, Any]) -> None:
        task, run, worker = _get_run(record)
        has_run = _get_text(record, "reason") not in _REFUSED_ENDS
        history = self._find(record, now_s)
        history.stopped.add((task, run))
        is_known = _remove_run(history, task, run, worker)
        self._record_removal(history, now_s, has_run and (is_known or not history.placements))

    def _handle_run_ended(self, now_s: float, record: dict[str, Any]) -> None:
        task, run, worker = _get_run(record)
        end = _get_text(record, "end")
        history = self._find(record, now_s)
        if (task, run) in history.stopped:
            history.stopped.discard((task, run))
            return
        is_known = _remove_run(history, task, run, worker)
        self._record_removal(history, now_s, is_known or end not in _INFERRED_ENDS)

    def _record_removal(self, history: _JobHistory, now_s: float, has_run: bool) -> None:
        """Records that a run has ended, or is about to.

        Args:
            history: History of its job.
            now_s: When it ended.
            has_run: Whether it has run until then, as far as the logs tell.
        """
        if has_run and history.is_open:
            self._end_wait(history, now_s, "run_ended")
        if history.placements:
            return
        history.placed_at_s = None
        if history.is_open and history.idle_since_s is None:
            history.idle_since_s = now_s

    def _handle_waiting(self, now_s: float, record: dict[str, Any]) -> None:
        waited_s = record.get("waited_s")
        if not _is_time(waited_s) or waited_s < 0.0:
            raise _MalformedError("waited_s")
        reason, worker = _get_text(record, "reason"), record.get("worker")
        further = record.get("jobs", [])
        if not isinstance(further, list) or not all(isinstance(job_id, str) for job_id in further):
            raise _MalformedError("jobs")
        for job_id in further:
            self._record_further(now_s, job_id, reason)
        history = self._find(record, now_s)
        if history.is_open:
            self._restore_wait(history, now_s - waited_s)
            text = f"{reason} ({worker})" if isinstance(worker, str) else reason
            history.reasons.append((now_s, text))

    def _record_further(self, now_s: float, job_id: str, reason: str) -> None:
        """Records the reason of a job that a line about another one names.

        The line does not tell for how long the job has waited, only that it is ``MIN_REPORTED_S``
        at least. The worker that the line may name is that of the other job.
        """
        history = self._find_job(job_id, now_s)
        if history.is_open:
            self._restore_wait(history, now_s - MIN_REPORTED_S)
            history.reasons.append((now_s, reason))

    def _restore_wait(self, history: _JobHistory, since_s: float) -> None:
        """Records that a job has had nothing running since a time, whatever was placed since."""
        is_first_of_timed = history.is_timed and not history.reasons
        if is_first_of_timed or history.idle_since_s is None or since_s < history.idle_since_s:
            history.idle_since_s = since_s
        history.placed_at_s = None
        while history.waits and history.waits[-1].to_s > since_s + ROUNDING_S:
            wait = history.waits.pop()
            history.idle_since_s = min(history.idle_since_s, wait.from_s)
            history.reasons = [*wait.reasons, *history.reasons]

    def _handle_resumed(self, now_s: float, record: dict[str, Any]) -> None:
        history = self._find(record, now_s)
        if history.is_open:
            self._end_wait(history, now_s, "job_resumed")

    def _handle_job_ended(self, now_s: float, record: dict[str, Any]) -> None:
        history = self._find(record, now_s)
        if history.is_open:
            self._end_wait(history, now_s, record["event"])
            history.is_open = False

    def _handle_term(self, now_s: float, record: dict[str, Any]) -> None:
        node, epoch = _get_text(record, "node"), _get_count(record, "epoch")
        self._terms.append((now_s, f"{node} epoch {epoch} at {now_s:.3f}"))


def _remove_run(history: _JobHistory, task: str | None, run: int, worker: str) -> bool:
    """Removes a run from the placements of its job; returns whether it was found.

    The name of a task is that of its step and an index. Without a name, any step will do.
    """
    step = task.rpartition(".")[0] if task is not None else None
    for placement in history.placements:
        if placement.run != run or worker not in placement.workers:
            continue
        if step is not None and placement.step != step:
            continue
        placement.remaining -= 1
        if placement.remaining <= 0:
            history.placements.remove(placement)
        return True
    return False


def _get_run(record: dict[str, Any]) -> tuple[str, int, str]:
    return _get_text(record, "task"), _get_count(record, "run"), _get_text(record, "worker")


def _get_text(record: dict[str, Any], name: str) -> str:
    value = record.get(name)
    if not isinstance(value, str):
        raise _MalformedError(name)
    return value


def _get_count(record: dict[str, Any], name: str) -> int:
    value = record.get(name)
    if not _is_count(value):
        raise _MalformedError(name)
    return value


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_time(value: Any) -> bool:
    """Returns whether a value is a number of seconds; JSON also allows huge numbers and NaN."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and -MAX_TIME_S < value < MAX_TIME_S
