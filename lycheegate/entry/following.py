"""Submission of requests to partition owners, tracked until they end.

Each submission is repeated until the current owner has accepted it, and again when the owner
changes. A lost message or a failed owner therefore does not leave a caller without an end.
"""

import dataclasses
import threading
from collections.abc import Callable

from lycheegate.entry import records
from lycheegate.peers import messages
from lycheegate.utils import clock as clock_module

__all__ = ["FollowedRequest", "RequestFollower", "SettledRequest"]

RESUBMIT_INTERVAL_S = 1.0
"""Interval at which a submission without a reply is repeated."""

STATUS_CHECK_INTERVAL_S = 5.0
"""Interval at which a submission is repeated after the owner has accepted it, to learn whether the
request has ended.
"""

SWEEP_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class SettledRequest:
    """The end of a request, with the body of its answer if that was received with the end."""

    end: records.EndRecord
    body: bytes | None = None


@dataclasses.dataclass
class FollowedRequest:
    """A request that has been submitted to a partition owner.

    Attributes:
        versioned: Its record.
        waiter_count: Number of callers that wait on their connection.
        done: Set once the request has ended and ``settled`` is present.
        settled: Its end, once known here.
        accepted_by: Owner and epoch that have accepted it.
        sent_to: Owner and epoch that it was last sent to, unless they replied ``not_owner``.
        last_sent_s: Time at which it was last sent.
        is_repeated: Whether it was sent to any owner before.
    """

    versioned: records.VersionedRecord
    waiter_count: int = 0
    done: threading.Event = dataclasses.field(default_factory=threading.Event)
    settled: SettledRequest | None = None
    accepted_by: tuple[str, int] | None = None
    sent_to: tuple[str, int] | None = None
    last_sent_s: float = float("-inf")
    is_repeated: bool = False


class RequestFollower:
    """Registry of submitted requests, with the thread that repeats submissions."""

    def __init__(
        self,
        find_owner: Callable[[str], tuple[str, int] | None],
        send: Callable[[str, records.VersionedRecord, bool, bool], None],
        read_record: Callable[[str, Callable[[records.VersionedRecord | None], None]], None],
        clock: clock_module.Clock,
    ):
        """Creates an empty registry.

        Args:
            find_owner: Returns the owner and epoch of a partition, or None.
            send: Sends a request to the entry VM that owns its partition, which may be this one;
                called with the VM, the record, whether a caller waits, and whether the request may
                have been sent before.
            read_record: Reads a record in the background and calls a function with it.
            clock: Source of time.
        """
        self._find_owner = find_owner
        self._send = send
        self._read_record = read_record
        self._clock = clock
        self._lock = threading.Lock()
        self._followed: dict[str, FollowedRequest] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="following", daemon=True)

    def start(self) -> None:
        """Starts the thread that repeats submissions."""
        self._thread.start()

    def stop(self) -> None:
        """Stops repeating submissions."""
        self._stopped.set()

    def count_waiting(self) -> int:
        """Returns the number of waiting callers."""
        with self._lock:
            return sum(followed.waiter_count for followed in self._followed.values())

    def count(self) -> int:
        """Returns the number of registered requests."""
        return len(self._followed)

    def resubmit_due(self) -> None:
        """Repeats the submissions that are due."""
        for followed in list(self._followed.values()):
            self._send_if_due(followed)

    def follow(
        self, versioned: records.VersionedRecord, waits: bool, is_repeated: bool
    ) -> FollowedRequest:
        """Submits a request and tracks it.

        If ``waits`` is true, ``stop_waiting`` must be called once the caller no longer waits.
        """
        request_id = versioned.record.request_id
        with self._lock:
            followed = self._followed.get(request_id)
            if followed is None:
                followed = FollowedRequest(versioned, is_repeated=is_repeated)
                self._followed[request_id] = followed
            followed.waiter_count += int(waits)
        self._send_if_due(followed)
        return followed

    def stop_waiting(self, followed: FollowedRequest) -> None:
        """Removes one waiting caller of a request."""
        with self._lock:
            followed.waiter_count -= 1
            self._drop_if_idle(followed)

    def handle_reply(self, vm_id: str, reply: messages.SubmitReply) -> None:
        """Handles the reply of an owner to a submission."""
        with self._lock:
            followed = self._followed.get(reply.request_id)
            if followed is None:
                return
            if reply.state == "queued":
                followed.accepted_by = (vm_id, reply.epoch)
                self._drop_if_idle(followed)
                return
            if reply.state == "not_owner":
                followed.sent_to = None
                return
        self._read_record(reply.request_id, self._handle_record)

    def settle(self, request_id: str, settled: SettledRequest) -> None:
        """Records the end of a request and wakes its waiting callers."""
        with self._lock:
            followed = self._followed.pop(request_id, None)
        if followed is not None:
            followed.settled = settled
            followed.done.set()

    def _handle_record(self, versioned: records.VersionedRecord | None) -> None:
        if versioned is not None and versioned.record.end is not None:
            self.settle(versioned.record.request_id, SettledRequest(versioned.record.end))

    def _drop_if_idle(self, followed: FollowedRequest) -> None:
        # Once an owner has accepted the request, any later owner finds its record in the table.
        is_safe = followed.accepted_by is not None or not followed.versioned.version
        if followed.waiter_count <= 0 and is_safe:
            self._followed.pop(followed.versioned.record.request_id, None)

    def _run(self) -> None:
        while not self._stopped.wait(SWEEP_INTERVAL_S):
            self.resubmit_due()

    def _send_if_due(self, followed: FollowedRequest) -> None:
        record = followed.versioned.record
        owner = self._find_owner(record.partition)
        if owner is None:
            return
        now_s = self._clock.monotonic_s()
        wait_s = STATUS_CHECK_INTERVAL_S if followed.accepted_by == owner else RESUBMIT_INTERVAL_S
        if followed.sent_to == owner and now_s - followed.last_sent_s < wait_s:
            return
        # A VM that replied "not_owner" replies so again until the new owner is known here, so the
        # request is sent at most once per sweep.
        if followed.sent_to is None and now_s - followed.last_sent_s < SWEEP_INTERVAL_S:
            return
        followed.sent_to, followed.last_sent_s = owner, now_s
        is_repeated, followed.is_repeated = followed.is_repeated, True
        self._send(owner[0], followed.versioned, followed.waiter_count > 0, is_repeated)
