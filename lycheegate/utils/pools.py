"""Named thread pools with a limit on queued work."""

import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any

from lycheegate.utils import exceptions

__all__ = ["BoundedPool"]


class BoundedPool:
    """Thread pool that refuses work at once when its queue is full."""

    def __init__(self, name: str, threads: int, queue_limit: int):
        self.name = name
        self._slots = threading.BoundedSemaphore(threads + queue_limit)
        self._executor = futures.ThreadPoolExecutor(threads, thread_name_prefix=name)

    def submit(self, function: Callable[..., Any], *args: Any, **kwargs: Any) -> futures.Future:
        """Runs a function on the pool.

        Returns:
            The future of the function's result.

        Raises:
            QueueFullError: All threads are busy and the queue is full.
        """
        if not self._slots.acquire(blocking=False):
            raise exceptions.QueueFullError(self.name)
        try:
            future = self._executor.submit(function, *args, **kwargs)
        except BaseException:
            self._slots.release()
            raise
        future.add_done_callback(lambda _: self._slots.release())
        return future

    def shutdown(self, wait: bool = True) -> None:
        """Stops the pool; queued work is still run."""
        self._executor.shutdown(wait=wait)
