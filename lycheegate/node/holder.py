"""Questions to the VM that holds the scheduler's term."""

import threading
from collections.abc import Callable

import cbor2
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import progress
from lycheegate.metrics import jsonlog
from lycheegate.node import peer_calls, relay, storage, terms

__all__ = ["HolderClient"]

NOTIFY_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.3
PROBE_PAUSE_S = 0.3


class HolderClient:
    """Calls to the holder of the term.

    Args:
        client: HTTP client.
        own_vm: Name of this VM.
        view: What was read of the term.
        find_address: Returns the address of a VM for its peers, or None if it is not known.
        is_own_term: Returns whether this VM holds, or is just claiming, the term with a number.
        now_s: Clock that goes on while the VM is suspended.
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
        self._probe_at_s = 0.0

    def notify(self, row: storage.Row) -> None:
        """Tells the holder of a row that was just written.

        The feed tells it too, so a notification that is lost is not repeated.
        """
        address = self._get_address()
        if address is None:
            return
        body = [peer_calls.NOTIFY, *relay.encode_row_key(row.key), row.value, row.version]
        self._send(address, body, NOTIFY_TIMEOUT_S)

    def probe(self) -> None:
        """Asks a holder whose heartbeat is overdue whether it still holds the term."""
        owner, now_s = self._view.owner, self._now_s()
        if owner is None or now_s < self._probe_at_s or not terms.is_suspect(self._view, now_s):
            return
        self._probe_at_s = now_s + PROBE_PAUSE_S
        if owner.vm == self._own_vm:
            # The claim is one of an earlier process on this VM, or its answer was lost.
            if not self._is_own_term(owner.epoch):
                self._note(owner.epoch, terms.HolderSign.GONE)
            return
        address = self._get_address()
        if address is None:
            return
        call = [peer_calls.HOLDS_TERM, owner.epoch]

        def take(done) -> None:
            self._note(owner.epoch, _read_sign(done.result()))

        self._send(address, call, PROBE_TIMEOUT_S).add_done_callback(take)

    def ask_status(self, job_id: str, timeout_s: float) -> progress.JobStatus | None:
        """Returns the stored state of a job as the holder knows it, or None; blocks the thread."""
        address = self._get_address()
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

    def _get_address(self) -> str | None:
        owner = self._view.owner
        return self._find_address(owner.vm) if owner is not None else None

    def _send(self, address: str, call: list, timeout_s: float):
        url = f"http://{address}{relay.PATH}"
        return self._client.send(http.Request("POST", url, cbor2.dumps(call), timeout_s=timeout_s))

    def _note(self, epoch: int, sign: terms.HolderSign) -> None:
        if terms.note_sign(self._view, epoch, sign, self._now_s()):
            self._log.write("holder_probed", epoch=epoch, sign=sign.value)


def _read_sign(outcome: http.HttpResult) -> terms.HolderSign:
    if not isinstance(outcome, result.Success):
        return terms.HolderSign.UNREACHABLE
    response = outcome.unwrap()
    try:
        if response.status == 200 and peer_calls.decode_holds_term(response.body):
            return terms.HolderSign.ALIVE
    except ValueError:
        return terms.HolderSign.UNREACHABLE
    return terms.HolderSign.GONE if response.status == 200 else terms.HolderSign.UNREACHABLE
