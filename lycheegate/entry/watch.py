"""Watches one worker: fences it, reports its events, renews the leases of its tasks."""

import dataclasses
import random
import threading
from collections.abc import Callable

from returns import result

from lycheegate.core import events
from lycheegate.entry import orders
from lycheegate.model import resources
from lycheegate.utils import clock as clock_module
from lycheegate.utils import exceptions

__all__ = ["WorkerWatch"]

RENEW_INTERVAL_S = orders.LEASE_S / 3
"""Two lost renewals do not stop a task."""

POLL_WAIT_S = 5.0
LOSS_S = 3.0
RETRY_S = 0.2
"""Delay after a failed exchange; several of them fit into ``LOSS_S``."""

NEWEST = 2**53
"""Position after every event: the worker answers at once where its events stand."""


@dataclasses.dataclass
class _Progress:
    is_lost: bool = False
    is_leaving: bool = False
    failing_since_s: float | None = None


class WorkerWatch:
    """Thread that follows a worker until it is stopped."""

    def __init__(
        self,
        worker: resources.Worker,
        partition: str,
        epoch: int,
        calls: orders.WorkerCalls,
        post: Callable[[events.Event], None],
        on_fenced: Callable[[int], None],
        clock: clock_module.Clock,
    ):
        self.worker = worker
        self._partition = partition
        self._epoch = epoch
        self._calls = calls
        self._post = post
        self._on_fenced = on_fenced
        self._clock = clock
        self._stopped = threading.Event()
        self._progress = _Progress()
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{worker.worker_id}", daemon=True
        )

    def start(self) -> None:
        """Starts to follow the worker."""
        self._thread.start()

    def stop(self) -> None:
        """Stops at the end of the exchange under way; does not wait for it."""
        self._stopped.set()

    @property
    def is_lost(self) -> bool:
        """Whether the worker does not answer."""
        return self._progress.is_lost

    @property
    def is_leaving(self) -> bool:
        """Whether the worker said that it is leaving."""
        return self._progress.is_leaving

    def _run(self) -> None:
        while not self._stopped.is_set():
            position = self._fence()
            if position is None:
                self._pause()
                continue
            self._follow(position)

    def _fence(self) -> int | None:
        """Fences the worker; returns where its events stood before, or None on failure."""
        endpoint = self.worker.endpoint
        position = self._calls.poll_events(endpoint, NEWEST, 0.0)
        if not self._check(position):
            return None
        fenced = self._calls.fence(endpoint, self._partition, self._epoch, orders.LEASE_S)
        if not self._check(fenced):
            return None
        reply = fenced.unwrap()
        worker = dataclasses.replace(
            self.worker, slots=reply.slots, accelerators=reply.accelerators
        )
        self._progress.is_lost = False
        self._post(events.WorkerReported(worker, orders.translate_tasks(reply.tasks)))
        self._note_leaving(reply.leaving)
        return position.unwrap().next

    def _follow(self, position: int) -> None:
        """Reports events until the worker is lost or restarts."""
        renew_at_s = self._clock.monotonic_s() + RENEW_INTERVAL_S
        while not self._stopped.is_set():
            if self._clock.monotonic_s() >= renew_at_s:
                fenced = self._calls.fence(
                    self.worker.endpoint, self._partition, self._epoch, orders.LEASE_S
                )
                if self._check(fenced):
                    renew_at_s = self._clock.monotonic_s() + RENEW_INTERVAL_S
            polled = self._calls.poll_events(self.worker.endpoint, position, POLL_WAIT_S)
            if self._stopped.is_set():
                return
            if not self._check(polled):
                if self._progress.is_lost:
                    return
                self._pause()
                continue
            reply = polled.unwrap()
            if reply.next < position:
                # The worker counts from the start again, so it has restarted and lost its tasks.
                return
            position = reply.next
            for event in reply.events:
                translated = orders.translate_event(event)
                if translated is not None:
                    self._post(translated)
            self._note_leaving(reply.leaving)

    def _check(self, reply: result.Result) -> bool:
        """Notes whether an exchange succeeded; reports loss and fencing."""
        progress = self._progress
        match reply:
            case result.Success():
                progress.failing_since_s = None
                return True
            case result.Failure(exceptions.FencedError() as error):
                self._stopped.set()
                self._on_fenced(error.epoch)
                return False
        now_s = self._clock.monotonic_s()
        if progress.failing_since_s is None:
            progress.failing_since_s = now_s
        if now_s - progress.failing_since_s >= LOSS_S and not progress.is_lost:
            progress.is_lost = True
            self._post(events.WorkerLost(self.worker.worker_id))
        return False

    def _note_leaving(self, leaving: bool) -> None:
        if leaving and not self._progress.is_leaving:
            self._post(events.WorkerLeaving(self.worker.worker_id))
        self._progress.is_leaving = leaving

    def _pause(self) -> None:
        self._stopped.wait(RETRY_S * (0.5 + random.random()))
