"""Named thread pools with a bounded queue."""

import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any

from lycheegate.utils import exceptions

__all__ = ["BoundedPool"]


class BoundedPool:
    """Thread pool that rejects work immediately when its queue is full.

    Attributes:
        name: Name of the pool, used as prefix of its thread names.
    """

    def __init__(self, name: str, threads: int, queue_limit: int):
        self.name = name
        self._slots = threading.BoundedSemaphore(threads + queue_limit)
        self._executor = futures.ThreadPoolExecutor(threads, thread_name_prefix=name)

    def submit(self, function: Callable[..., Any], *args: Any, **kwargs: Any) -> futures.Future:
        """Schedules a function call on the pool.

        Returns:
            A future for the result of the call.

        Raises:
            QueueFullError: All threads are busy and the queue is full.
        """
        if not self._slots.acquire(blocking=False):
            raise exceptions.QueueFullError(f"queue of thread pool {self.name!r} is full")
        try:
            future = self._executor.submit(function, *args, **kwargs)
        except BaseException:
            self._slots.release()
            raise
        future.add_done_callback(lambda _: self._slots.release())
        return future

    def shutdown(self, wait: bool = True) -> None:
        """Shuts the pool down after running the queued work.

        Args:
            wait: Whether to block until all work is done.
        """
        self._executor.shutdown(wait=wait)
