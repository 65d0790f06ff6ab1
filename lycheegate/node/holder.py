"""Client of the VM that holds the scheduler's term."""

import enum
import threading
from collections.abc import Callable

import cbor2
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import progress
from lycheegate.metrics import jsonlog
from lycheegate.node import peer_calls, relay, storage, terms

__all__ = ["HolderClient", "HolderProblem"]

NOTIFY_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.3
PROBE_INTERVAL_S = 0.3


class HolderProblem(enum.StrEnum):
    """Why the holder did not answer a query where a job would be placed."""

    NO_HOLDER = "no_holder"
    HOLDER_CHANGED = "holder_changed"
    HOLDER_SILENT = "holder_silent"
    UNSUPPORTED = "unsupported"
    """The holder runs a build without previews, or with others."""


def _make_problem(problem: HolderProblem, text: str) -> peer_calls.PreviewAnswer:
    return peer_calls.PreviewAnswer(problem.value, text, {})


class HolderClient:
    """Sends notifications, probes and queries to the holder of the term.

    Args:
        client: HTTP client.
        own_vm: Name of this VM.
        view: This VM's view of the term.
        find_address: Returns the peer address of a VM, or None if it is unknown.
        is_own_term: Returns whether this VM holds, or is claiming, the term with an epoch.
        now_s: Clock that includes time spent suspended.
        log: Log of decisions.
    """

    def __init__(
        self,
        client: http.HttpClient,
        own_vm: str,
        view: terms.TermView,
        find_address: Callable[[str], str | None],
        is_own_term: Callable[[int], bool],
        now_s: Callable[[], float],
        log: jsonlog.JsonLog,
    ):
        self._client = client
        self._own_vm = own_vm
        self._view = view
        self._find_address = find_address
        self._is_own_term = is_own_term
        self._now_s = now_s
        self._log = log
        self._next_probe_at_s = 0.0

    def notify(self, row: storage.Row) -> None:
        """Notifies the holder of a row that has just been written.

        A lost notification is not repeated, because the holder also receives the row from its
        change feed.
        """
        address = self._find_holder_address()
        if address is None:
            return
        body = [peer_calls.NOTIFY, *relay.encode_row_key(row.key), row.value, row.version]
        self._send(address, body, NOTIFY_TIMEOUT_S)

    def probe(self) -> None:
        """Asks the holder whether it still holds the term, if its heartbeat is overdue."""
        holder, now_s = self._view.holder, self._now_s()
        if (
            holder is None
            or now_s < self._next_probe_at_s
            or not terms.is_heartbeat_overdue(self._view, now_s)
        ):
            return
        self._next_probe_at_s = now_s + PROBE_INTERVAL_S
        if holder.vm == self._own_vm:
            # An earlier process on this VM claimed the term, or the answer to a claim was lost.
            if not self._is_own_term(holder.epoch):
                self._record_probe_result(holder.epoch, terms.ProbeResult.GONE)
            return
        address = self._find_holder_address()
        if address is None:
            return
        call = [peer_calls.HOLDS_TERM, holder.epoch]

        def record(done) -> None:
            self._record_probe_result(holder.epoch, _read_probe_result(done.result()))

        self._send(address, call, PROBE_TIMEOUT_S).add_done_callback(record)

    def query_status(self, job_id: str, timeout_s: float) -> progress.JobStatus | None:
        """Returns the stored status of a job as the holder reports it, or None.

        Blocks the calling thread.
        """
        address = self._find_holder_address()
        if address is None:
            return None
        answered = threading.Event()
        future = self._send(address, [peer_calls.JOB_STATUS, job_id], timeout_s)
        future.add_done_callback(lambda _: answered.set())
        if not answered.wait(timeout_s + NOTIFY_TIMEOUT_S):
            return None
        outcome = future.result()
        if not isinstance(outcome, result.Success) or outcome.unwrap().status != 200:
            return None
        try:
            return peer_calls.decode_status(outcome.unwrap().body)
        except ValueError as error:
            self._log.write("peer_answer_unreadable", job=job_id, error=str(error))
            return None

    def query_preview(
        self, account: str, job_id: str, record: bytes, timeout_s: float
    ) -> peer_calls.PreviewAnswer:
        """Returns where a job would be placed as the holder answers it, or why it did not.

        Blocks the calling thread.

        Args:
            account: Client account that asks, or an empty string.
            job_id: The job.
            record: Record of acceptance that the job would get, or nothing for a job that waits.
            timeout_s: Time limit of the call.
        """
        term_holder = self._view.holder
        address = self._find_holder_address()
        if term_holder is None or address is None:
            return _make_problem(HolderProblem.NO_HOLDER, "no VM is known to hold the term")
        query = peer_calls.PreviewQuery(term_holder.epoch, account, job_id, record)
        answered = threading.Event()
        future = self._send(address, peer_calls.encode_preview_query(query), timeout_s)
        future.add_done_callback(lambda _: answered.set())
        is_answered = answered.wait(timeout_s + NOTIFY_TIMEOUT_S)
        now_holder = self._view.holder
        if now_holder is None or now_holder.epoch != term_holder.epoch:
            text = f"{term_holder.vm} held the term when it was asked"
            return _make_problem(HolderProblem.HOLDER_CHANGED, text)
        if not is_answered or not isinstance(future.result(), result.Success):
            text = f"{term_holder.vm} did not answer within {timeout_s:g} s"
            return _make_problem(HolderProblem.HOLDER_SILENT, text)
        response = future.result().unwrap()
        if response.status != 200:
            text = f"{term_holder.vm} answered with status {response.status}"
            is_unsupported = response.status == 400
            return _make_problem(
                HolderProblem.UNSUPPORTED if is_unsupported else HolderProblem.HOLDER_SILENT, text
            )
        try:
            return peer_calls.decode_preview(response.body)
        except ValueError as error:
            self._log.write("peer_answer_unreadable", job=job_id, error=str(error))
            return _make_problem(HolderProblem.UNSUPPORTED, str(error))

    def _find_holder_address(self) -> str | None:
        holder = self._view.holder
        return self._find_address(holder.vm) if holder is not None else None

    def _send(self, address: str, call: list, timeout_s: float):
        url = f"http://{address}{relay.PATH}"
        return self._client.send(http.Request("POST", url, cbor2.dumps(call), timeout_s=timeout_s))

    def _record_probe_result(self, epoch: int, probe_result: terms.ProbeResult) -> None:
        if terms.record_probe_result(self._view, epoch, probe_result, self._now_s()):
            self._log.write("holder_probed", epoch=epoch, sign=probe_result.value)


def _read_probe_result(outcome: http.HttpResult) -> terms.ProbeResult:
    if not isinstance(outcome, result.Success):
        return terms.ProbeResult.UNREACHABLE
    response = outcome.unwrap()
    try:
        if response.status == 200 and peer_calls.decode_holds_term(response.body):
            return terms.ProbeResult.ALIVE
    except ValueError:
        return terms.ProbeResult.UNREACHABLE
    return terms.ProbeResult.GONE if response.status == 200 else terms.ProbeResult.UNREACHABLE
