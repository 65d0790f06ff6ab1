"""Requests that this entry VM hands over to partition owners and follows to their end.

Each submission is repeated until the owner in office has taken it, and again when the owner
changes. So neither a lost message nor a dead owner leaves a caller without an end.
"""

import dataclasses
import threading
from collections.abc import Callable

from lycheegate.entry import records
from lycheegate.peers import messages
from lycheegate.utils import clock as clock_module

__all__ = ["Followed", "Following", "Settled"]

REPEAT_S = 1.0
"""Time without a reply after which a submission is repeated."""

CHECK_S = 5.0
"""Time after which an owner that has taken a request is asked whether it has ended."""

SWEEP_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """How a request ended; ``body`` is its answer, unless it is in the object store."""

    end: records.EndRecord
    body: bytes | None = None


@dataclasses.dataclass
class Followed:
    """A request under way.

    Attributes:
        known: Its record.
        waiting: Callers that wait on their connection.
        done: Set once ``settled`` is.
        taken_by: Owner and epoch that have taken it.
        asked: Owner and epoch that were asked last.
        asked_at_s: When.
        is_repeated: Whether any owner was asked before.
    """

    known: records.Versioned
    waiting: int = 0
    done: threading.Event = dataclasses.field(default_factory=threading.Event)
    settled: Settled | None = None
    taken_by: tuple[str, int] | None = None
    asked: tuple[str, int] | None = None
    asked_at_s: float = float("-inf")
    is_repeated: bool = False


class Following:
    """Registry of the requests under way, with the thread that repeats submissions."""

    def __init__(
        self,
        find_owner: Callable[[str], tuple[str, int] | None],
        send: Callable[[str, records.Versioned, bool, bool], None],
        read_record: Callable[[str, Callable[[records.Versioned | None], None]], None],
        clock: clock_module.Clock,
    ):
        """Creates an empty registry.

        Args:
            find_owner: Returns owner and epoch of a partition, or None.
            send: Hands a request to an owner, which may be this process; says whether a caller
                waits, and whether it may have been handed over before.
            read_record: Reads a record in the background and calls back with it.
            clock: Source of time.
        """
        self._find_owner = find_owner
        self._send = send
        self._read_record = read_record
        self._clock = clock
        self._lock = threading.Lock()
        self._followed: dict[str, Followed] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sweep_regularly, name="following", daemon=True)

    def start(self) -> None:
        """Starts to repeat submissions."""
        self._thread.start()

    def stop(self) -> None:
        """Stops repeating."""
        self._stopped.set()

    def count_waiting(self) -> int:
        """Returns the number of callers that wait."""
        with self._lock:
            return sum(followed.waiting for followed in self._followed.values())

    def count(self) -> int:
        """Returns the number of requests under way."""
        return len(self._followed)

    def sweep(self) -> None:
        """Repeats the submissions that are due."""
        for followed in list(self._followed.values()):
            self._ask(followed)

    def follow(self, known: records.Versioned, waits: bool, is_repeated: bool) -> Followed:
        """Hands a request over and follows it; ``leave`` ends a wait."""
        request_id = known.record.request_id
        with self._lock:
            followed = self._followed.get(request_id)
            if followed is None:
                followed = Followed(known, is_repeated=is_repeated)
                self._followed[request_id] = followed
            followed.waiting += int(waits)
        self._ask(followed)
        return followed

    def leave(self, followed: Followed) -> None:
        """Ends the wait of one caller."""
        with self._lock:
            followed.waiting -= 1
            self._drop_if_idle(followed)

    def note_reply(self, vm_id: str, reply: messages.SubmitReply) -> None:
        """Notes what an owner said about a submission."""
        with self._lock:
            followed = self._followed.get(reply.request_id)
            if followed is None:
                return
            if reply.state == "queued":
                followed.taken_by = (vm_id, reply.epoch)
                self._drop_if_idle(followed)
                return
            if reply.state == "not_owner":
                followed.asked = None
                return
        self._read_record(reply.request_id, self._note_record)

    def settle(self, request_id: str, settled: Settled) -> None:
        """Notes the end of a request."""
        with self._lock:
            followed = self._followed.pop(request_id, None)
        if followed is not None:
            followed.settled = settled
            followed.done.set()

    def _note_record(self, known: records.Versioned | None) -> None:
        if known is not None and known.record.end is not None:
            self.settle(known.record.request_id, Settled(known.record.end))

    def _drop_if_idle(self, followed: Followed) -> None:
        # A record that an owner has taken is found again by whoever owns the partition next.
        is_safe = followed.taken_by is not None or not followed.known.version
        if followed.waiting <= 0 and is_safe:
            self._followed.pop(followed.known.record.request_id, None)

    def _sweep_regularly(self) -> None:
        while not self._stopped.wait(SWEEP_S):
            self.sweep()

    def _ask(self, followed: Followed) -> None:
        record = followed.known.record
        owner = self._find_owner(record.partition)
        if owner is None:
            return
        now_s = self._clock.monotonic_s()
        wait_s = CHECK_S if followed.taken_by == owner else REPEAT_S
        if followed.asked == owner and now_s - followed.asked_at_s < wait_s:
            return
        # An owner that answered "not_owner" stays so until the change of owner is known here.
        if followed.asked is None and now_s - followed.asked_at_s < SWEEP_S:
            return
        followed.asked, followed.asked_at_s = owner, now_s
        is_repeated, followed.is_repeated = followed.is_repeated, True
        self._send(owner[0], followed.known, followed.waiting > 0, is_repeated)
