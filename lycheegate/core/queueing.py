"""Waiting requests and the use that client accounts make of the partition.

Requests that placement cannot tell apart are kept in one group, so that one failed attempt to
place the head answers for the whole group.
"""

import dataclasses
import math

import sortedcontainers

from lycheegate.model import requests, resources

__all__ = [
    "AccountState",
    "GroupKey",
    "LargeWait",
    "QueueState",
    "add_request",
    "compute_share",
    "count_waiting",
    "get_account",
    "get_request",
    "list_heads",
    "remove_request",
    "track_large",
    "use_capacity",
]

USAGE_HALF_LIFE_S = 4 * 3600.0
"""Most jobs run for hours; use older than a working day should no longer count."""

START_CHARGE_S = 600.0
"""Running work counts with this much future use, so that starts in one pass alternate."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """What requests of a group have in common."""

    urgency: requests.Urgency
    client_account: str
    shape: resources.Shape
    preemptible: bool
    immune: bool


@dataclasses.dataclass(slots=True, eq=False)
class AccountState:
    """Use by one client account.

    Attributes:
        weight: Share relative to other client accounts.
        quota: Most accelerators in use, or None.
        in_use: Accelerators in use or kept.
        rate: Accelerators charged for running work; see ``charge_rate`` for other work.
        usage: Accelerator seconds used, decayed, up to ``usage_at_s``.
        usage_at_s: Time of ``usage``.
        groups: For each urgency, keys of the groups that have requests.
    """

    weight: float = 1.0
    quota: int | None = None
    in_use: int = 0
    rate: float = 0.0
    usage: float = 0.0
    usage_at_s: float = 0.0
    groups: dict[requests.Urgency, set[GroupKey]] = dataclasses.field(
        default_factory=lambda: {urgency: set() for urgency in requests.Urgency}
    )


@dataclasses.dataclass(slots=True, eq=False)
class LargeWait:
    """How long a large job has waited.

    Attributes:
        serial: Order among large jobs.
        since_s: When it was queued.
        starts: Starts of the partition at that time.
        reserved_at_s: When it first got a reservation, or None.
    """

    serial: int
    since_s: float
    starts: int
    reserved_at_s: float | None = None


@dataclasses.dataclass(slots=True, eq=False)
class QueueState:
    """All waiting requests.

    Attributes:
        groups: Requests of each group by arrival and serial number.
        places: Group and position of each request.
        accounts: Client accounts that have or had work.
        active: For each urgency, client accounts with waiting requests.
        serial: Number of the next request.
        waits: Large jobs that have not started.
        large: Those of them that are in the queue, by serial number.
        starts: Requests started so far.
    """

    groups: dict[GroupKey, sortedcontainers.SortedDict] = dataclasses.field(default_factory=dict)
    places: dict[str, tuple[GroupKey, tuple[float, int]]] = dataclasses.field(default_factory=dict)
    accounts: dict[str, AccountState] = dataclasses.field(default_factory=dict)
    active: dict[requests.Urgency, set[str]] = dataclasses.field(
        default_factory=lambda: {urgency: set() for urgency in requests.Urgency}
    )
    serial: int = 0
    waits: dict[str, LargeWait] = dataclasses.field(default_factory=dict)
    large: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    starts: int = 0


def get_account(queue: QueueState, name: str) -> AccountState:
    """Returns the state of a client account, created on first use."""
    account = queue.accounts.get(name)
    if account is None:
        account = queue.accounts[name] = AccountState()
    return account


def add_request(queue: QueueState, request: requests.Request, immune: bool) -> None:
    """Adds a waiting request in order of its arrival."""
    if request.request_id in queue.places:
        return
    key = GroupKey(
        request.urgency, request.client_account, request.shape, request.preemptible, immune
    )
    group = queue.groups.get(key)
    if group is None:
        group = queue.groups[key] = sortedcontainers.SortedDict()
        get_account(queue, key.client_account).groups[key.urgency].add(key)
        queue.active[key.urgency].add(key.client_account)
    position = (request.submitted_at_s, queue.serial)
    queue.serial += 1
    group[position] = request
    queue.places[request.request_id] = (key, position)
    wait = queue.waits.get(request.request_id)
    if wait is not None:
        queue.large[wait.serial] = request.request_id


def track_large(queue: QueueState, request_id: str, now_s: float) -> None:
    """Starts to measure the wait of a large job, before it is added."""
    if request_id not in queue.waits:
        queue.waits[request_id] = LargeWait(queue.serial, now_s, queue.starts)


def remove_request(queue: QueueState, request_id: str) -> requests.Request | None:
    """Removes a waiting request; returns it, or None if it does not wait."""
    place = queue.places.pop(request_id, None)
    if place is None:
        return None
    wait = queue.waits.get(request_id)
    if wait is not None:
        queue.large.pop(wait.serial, None)
    key, position = place
    group = queue.groups[key]
    request = group.pop(position)
    if not group:
        del queue.groups[key]
        account_groups = queue.accounts[key.client_account].groups[key.urgency]
        account_groups.discard(key)
        if not account_groups:
            queue.active[key.urgency].discard(key.client_account)
    return request


def get_request(queue: QueueState, request_id: str) -> requests.Request | None:
    """Returns a waiting request, or None."""
    place = queue.places.get(request_id)
    return None if place is None else queue.groups[place[0]][place[1]]


def count_waiting(queue: QueueState) -> int:
    """Returns the number of waiting requests."""
    return len(queue.places)


def list_heads(
    queue: QueueState, urgency: requests.Urgency, client_account: str, tried: set[GroupKey]
) -> list[tuple[tuple[float, int], GroupKey]]:
    """Returns position and key of the account's groups that were not tried, oldest head first."""
    groups = queue.accounts[client_account].groups[urgency]
    return sorted(
        ((queue.groups[key].keys()[0], key) for key in groups if key not in tried),
        key=lambda entry: entry[0],
    )


def use_capacity(account: AccountState, accelerators: int, rate: float, now_s: float) -> None:
    """Records that an account takes capacity, or gives it back if the numbers are negative.

    Args:
        account: The client account.
        accelerators: Accelerators that count against the quota.
        rate: What is charged for each second.
        now_s: Time.
    """
    account.usage = _project(account, now_s)
    account.usage_at_s = max(now_s, account.usage_at_s)
    account.in_use += accelerators
    account.rate += rate


def _project(account: AccountState, now_s: float) -> float:
    elapsed_s = max(0.0, now_s - account.usage_at_s)
    decay = 0.5 ** (elapsed_s / USAGE_HALF_LIFE_S)
    return account.usage * decay + account.rate * (1 - decay) * USAGE_HALF_LIFE_S / math.log(2)


def compute_share(account: AccountState, now_s: float) -> float:
    """Returns the weighted use of an account; the account with the lowest is served next."""
    return (_project(account, now_s) + account.rate * START_CHARGE_S) / account.weight
