"""Shares of client accounts in the capacity of a service.

Handles loads in which one client account submits a hundred jobs at once while others submit one,
and more work waits than fits. By size alone, the many jobs of the one account would go ahead of a
single larger job of another, which would wait for all of them. Accounts therefore take turns: those
below the equal share go first, then those with the smallest dominant share.
"""

import collections
import dataclasses
import heapq
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from lycheegate.jobs import model

__all__ = [
    "AccountShares",
    "Amounts",
    "RecentUse",
    "TurnQueue",
    "UseKey",
    "add_need",
    "compute_dominant_share",
    "compute_recent",
    "update_recent",
]

HALF_LIFE_S = 10.0
"""Time after which earlier use counts half."""
WINDOW_S = 30.0
"""Age from which use no longer counts."""
SAMPLE_INTERVAL_S = 1.0
"""Interval at which averages are kept, so that use beyond the window can be taken out of them."""
TIE_RATIO = 1.0
"""Multiple of the equal share up to which accounts go by the order of their jobs. A higher one ends
more jobs in time in all, but lets some accounts keep that much more than others."""
MAX_VICTIM_COST_RATIO = 1.5
"""Ratio by which stopping work of an account without use costs more than that of an account at or
above its share. It decides only between victims whose loss is similar."""

Amounts = tuple[float, float, float]
"""Thousandths of a core, megabytes of memory, and accelerators."""
UseKey = tuple[str, str]
"""Service and client account."""
NOTHING: Amounts = (0.0, 0.0, 0.0)
_NEGLIGIBLE: Amounts = (1.0, 1.0, 0.001)
"""Amounts below which an average is dropped once its account uses nothing."""

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True)
class RecentUse:
    """What each client account has used of each service during this term.

    Attributes:
        used: What they use since ``updated_at_s``.
        averages: Averages over the past in which use counts half after each ``HALF_LIFE_S``.
        samples: Earlier averages with their times, oldest first, none older than ``WINDOW_S``.
        updated_at_s: When it was last updated, or None if it never was.
        reported_at_s: When the shares in each service were last logged.
    """

    used: dict[UseKey, Amounts] = dataclasses.field(default_factory=dict)
    averages: dict[UseKey, Amounts] = dataclasses.field(default_factory=dict)
    samples: collections.deque[tuple[float, dict[UseKey, Amounts]]] = dataclasses.field(
        default_factory=collections.deque
    )
    updated_at_s: float | None = None
    reported_at_s: dict[str, float] = dataclasses.field(default_factory=dict)


def add_need(amounts: Amounts, need: model.Resources, count: int) -> Amounts:
    """Returns the sum of amounts and the needs of ``count`` tasks."""
    return (
        amounts[0] + count * need.cpu_millicores,
        amounts[1] + count * need.memory_mb,
        amounts[2] + count * need.accelerators,
    )


def update_recent(recent: RecentUse, used: dict[UseKey, Amounts], now_s: float) -> None:
    """Updates the recent use with what is used now.

    Args:
        recent: The recent use, which is changed.
        used: What each account uses of each service now.
        now_s: Time on the scheduler's clock.
    """
    if recent.updated_at_s is None:
        recent.updated_at_s = now_s
        recent.samples.append((now_s, {}))
    elif now_s - recent.updated_at_s >= WINDOW_S:
        recent.updated_at_s = now_s - WINDOW_S
        recent.averages = dict(recent.used)
        recent.samples.clear()
        recent.samples.append((recent.updated_at_s, dict(recent.used)))
    while now_s - recent.samples[-1][0] >= SAMPLE_INTERVAL_S:
        _advance(recent, recent.samples[-1][0] + SAMPLE_INTERVAL_S)
        recent.samples.append((recent.updated_at_s, dict(recent.averages)))
    _advance(recent, now_s)
    recent.used = used
    while now_s - recent.samples[0][0] > WINDOW_S:
        recent.samples.popleft()


def _advance(recent: RecentUse, until_s: float) -> None:
    """Moves the averages forward in time while the same is used."""
    kept = 0.5 ** (max(0.0, until_s - recent.updated_at_s) / HALF_LIFE_S)
    averages: dict[UseKey, Amounts] = {}
    for key in recent.averages.keys() | recent.used.keys():
        average = recent.averages.get(key, NOTHING)
        used = recent.used.get(key, NOTHING)
        moved = tuple(u + kept * (a - u) for a, u in zip(average, used, strict=True))
        if key in recent.used or any(m >= n for m, n in zip(moved, _NEGLIGIBLE, strict=True)):
            averages[key] = moved
    recent.averages = averages
    recent.updated_at_s = max(recent.updated_at_s, until_s)


def compute_recent(recent: RecentUse, key: UseKey) -> Amounts:
    """Returns the average use of the last ``WINDOW_S``; use before the term counts as none."""
    sampled_at_s, sample = recent.samples[0]
    kept = 0.5 ** ((recent.updated_at_s - sampled_at_s) / HALF_LIFE_S)
    whole = 1.0 - 0.5 ** (WINDOW_S / HALF_LIFE_S)
    average = recent.averages.get(key, NOTHING)
    older = sample.get(key, NOTHING)
    return tuple(max(0.0, a - kept * o) / whole for a, o in zip(average, older, strict=True))


def compute_dominant_share(amounts: Amounts, total: Amounts) -> float:
    """Returns the largest share of any resource that the amounts take up."""
    return max(a / t if t > 0.0 else 0.0 for a, t in zip(amounts, total, strict=True))


class AccountShares:
    """Shares of the client accounts in one service during a scheduling pass.

    Args:
        total: Capacity of the service.
        amounts: What each account that uses the service or waits for it uses now and has used
            recently.
        weights: Weights of the accounts; those of others are 1.
    """

    def __init__(self, total: Amounts, amounts: dict[str, Amounts], weights: dict[str, float]):
        self._total = total
        self._amounts = amounts
        self._weights = weights
        weight_sum = sum(weights.get(account, 1.0) for account in amounts)
        share_sum = sum(compute_dominant_share(a, total) for a in amounts.values())
        self.equal_share = share_sum / weight_sum if weight_sum else 0.0
        """Share for each unit of weight if what is used were divided equally."""

    def get_share(self, account: str) -> float:
        """Returns the dominant share of an account, divided by its weight."""
        share = compute_dominant_share(self._amounts.get(account, NOTHING), self._total)
        return share / self._weights.get(account, 1.0)

    def compute_turn_key(self, account: str) -> float:
        """Returns the sort key of an account's turns, which is equal for those below their share.

        The order of their jobs holds between these, which ends small jobs early.
        """
        return max(TIE_RATIO * self.equal_share, self.get_share(account))

    def add(self, account: str, need: model.Resources, count: int) -> None:
        """Adds tasks of an account that were placed, or for which room is reserved."""
        self._amounts[account] = add_need(self._amounts.get(account, NOTHING), need, count)

    def compute_victim_ratio(self, account: str) -> float:
        """Returns by which ratio it costs more to stop work of an account.

        It is 1 for an account that has its equal share or more, and rises to
        ``MAX_VICTIM_COST_RATIO`` the less it has.
        """
        if self.equal_share <= 0.0:
            return 1.0
        fill = min(1.0, self.get_share(account) / self.equal_share)
        return MAX_VICTIM_COST_RATIO - (MAX_VICTIM_COST_RATIO - 1.0) * fill


class TurnQueue(Generic[_T]):
    """Waiting items of several accounts, of which the account with the least key has its turn.

    The key of an account is computed again after each of its turns only, so a turn must not change
    the keys of other accounts. A turn takes a time logarithmic in the number of accounts.

    Args:
        items: Account and item, in the order that holds within an account and between accounts of
            equal key.
        compute_key: Returns the key of an account.
    """

    def __init__(self, items: Iterable[tuple[str, _T]], compute_key: Callable[[str], float]):
        self._compute_key = compute_key
        self._items: dict[str, collections.deque[tuple[int, _T]]] = {}
        for number, (account, item) in enumerate(items):
            self._items.setdefault(account, collections.deque()).append((number, item))
        self._heap: list[tuple[float, int, str]] | None = None

    def get_next(self) -> _T | None:
        """Returns the first item of the account whose turn it is, or None if there is none."""
        if self._heap is None:
            # Keys may have changed since the queue was made.
            self._heap = [(self._compute_key(a), q[0][0], a) for a, q in self._items.items()]
            heapq.heapify(self._heap)
        return self._items[self._heap[0][2]][0][1] if self._heap else None

    def end_turn(self, is_item_done: bool) -> None:
        """Ends a turn; the account goes on with its next item if ``is_item_done``."""
        account = self._heap[0][2]
        queue = self._items[account]
        if is_item_done:
            queue.popleft()
        if queue:
            heapq.heapreplace(self._heap, (self._compute_key(account), queue[0][0], account))
        else:
            heapq.heappop(self._heap)
