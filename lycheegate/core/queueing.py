"""Queue of waiting requests, and usage of the partition by client accounts.

Requests that are equivalent for placement are kept in one group. If its first request cannot be
placed, no other request of the group needs to be tried.
"""

import dataclasses
import math

import sortedcontainers

from lycheegate.core import capacity
from lycheegate.model import requests, resources

__all__ = [
    "AccountState",
    "Group",
    "Kind",
    "LargeWait",
    "QueueState",
    "add_request",
    "compute_weighted_usage",
    "get_account",
    "get_request",
    "list_oldest_large_jobs",
    "remove_request",
    "track_large_job",
    "update_usage",
]

USAGE_HALF_LIFE_S = 4 * 3600.0
"""Most jobs run for hours, and usage older than a working day should hardly count."""

START_CHARGE_S = 600.0
"""Running work is charged this much future usage, so that client accounts alternate in a pass."""


@dataclasses.dataclass(slots=True, eq=False)
class Kind:
    """Requests of all client accounts that are equivalent apart from quotas and guarantees.

    Attributes:
        shape: Requested shape.
        is_urgent: Whether the requests are urgent.
        preemptible: Whether they are declared preemptible.
        immune: Whether they have reached the limit of preemptions and are not preempted again.
        is_limited: Whether they must leave the urgent reserve free.
        failed_at: Versions of the inputs of placement when it last failed, or None.
        is_blocked: Whether these versions are unchanged in the current pass.
        groups: Number of groups of this kind.
    """

    shape: resources.Shape
    is_urgent: bool
    preemptible: bool
    immune: bool
    is_limited: bool
    failed_at: tuple[int, ...] | None = None
    is_blocked: bool = False
    groups: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Group:
    """Waiting requests of one client account that are equivalent for placement.

    Attributes:
        urgency: Urgency of the requests.
        client_account: Their client account.
        shape: Requested shape.
        preemptible: Whether the requests are declared preemptible.
        immune: Whether they have reached the limit of preemptions and are not preempted again.
        size: Accelerators of each request.
        kind: The kind, which is shared by all client accounts.
        is_limited: Whether the requests must leave the urgent reserve free.
        requests: The requests by arrival time and serial number.
        failed_at: Versions of the inputs of placement when it last failed for the first request,
            or None.
    """

    urgency: requests.Urgency
    client_account: str
    shape: resources.Shape
    preemptible: bool
    immune: bool
    size: int
    kind: Kind
    is_limited: bool
    requests: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    failed_at: tuple[int, ...] | None = None


@dataclasses.dataclass(slots=True, eq=False)
class AccountState:
    """Usage and waiting requests of one client account.

    Attributes:
        weight: Share relative to other client accounts.
        quota: Maximum number of accelerators in use, or None.
        in_use: Accelerators that are allocated, including those of pending requests.
        stopping: Accelerators among them whose work is being stopped.
        held: Allocations by request.
        firm_at: ``in_use``, ``version`` and request size of the last check which found that
            preempting the account's own work would not make room in its quota, or None.
        rate: Accelerators charged for running work; work without accelerators is charged for its
            slots.
        usage: Decayed accelerator seconds up to ``usage_at_s``.
        usage_at_s: Time of ``usage``.
        version: Incremented whenever the account releases capacity.
        groups: For each urgency, the groups that have requests.
        large: Large jobs in the queue, by serial number.
    """

    weight: float = 1.0
    quota: int | None = None
    in_use: int = 0
    stopping: int = 0
    held: dict[str, capacity.Allocation] = dataclasses.field(default_factory=dict)
    firm_at: tuple[int, int, int] | None = None
    rate: float = 0.0
    usage: float = 0.0
    usage_at_s: float = 0.0
    version: int = 0
    groups: dict[requests.Urgency, dict[tuple, Group]] = dataclasses.field(
        default_factory=lambda: {urgency: {} for urgency in requests.Urgency}
    )
    large: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )


@dataclasses.dataclass(slots=True, eq=False)
class LargeWait:
    """Wait of a large job.

    Attributes:
        serial: Order among large jobs.
        since_s: Time at which the job was queued.
        starts: Number of requests that the partition had started by then.
        reserved_at_s: Time of the job's first reservation, or None.
    """

    serial: int
    since_s: float
    starts: int
    reserved_at_s: float | None = None


@dataclasses.dataclass(slots=True, eq=False)
class QueueState:
    """Queue of a partition.

    Attributes:
        groups: Groups by the properties that their requests share.
        kinds: Kinds by the properties that their groups share.
        places: Group of each request and its position in the group.
        accounts: Client accounts that have or had work.
        active: For each urgency, client accounts with waiting requests.
        serial: Serial number of the next request.
        waits: Waits of large jobs that have not started.
        starts: Number of requests started so far.
    """

    groups: dict[tuple, Group] = dataclasses.field(default_factory=dict)
    kinds: dict[tuple, Kind] = dataclasses.field(default_factory=dict)
    places: dict[str, tuple[Group, tuple[float, int]]] = dataclasses.field(default_factory=dict)
    accounts: dict[str, AccountState] = dataclasses.field(default_factory=dict)
    active: dict[requests.Urgency, set[str]] = dataclasses.field(
        default_factory=lambda: {urgency: set() for urgency in requests.Urgency}
    )
    serial: int = 0
    waits: dict[str, LargeWait] = dataclasses.field(default_factory=dict)
    starts: int = 0


def get_account(queue: QueueState, name: str) -> AccountState:
    """Returns the state of a client account, created on first use."""
    account = queue.accounts.get(name)
    if account is None:
        account = queue.accounts[name] = AccountState()
    return account


def add_request(queue: QueueState, request: requests.Request, immune: bool) -> None:
    """Adds a waiting request in order of arrival, unless it already waits."""
    if request.request_id in queue.places:
        return
    account = get_account(queue, request.client_account)
    key = (request.urgency, request.client_account, request.shape, request.preemptible, immune)
    group = queue.groups.get(key)
    if group is None:
        kind = _get_kind(queue, request, immune)
        size = request.shape.total_accelerators
        kind.groups += 1
        group = queue.groups[key] = Group(*key, size, kind, kind.is_limited)
        account.groups[request.urgency][key] = group
        queue.active[request.urgency].add(request.client_account)
    position = (request.submitted_at_s, queue.serial)
    queue.serial += 1
    group.requests[position] = request
    queue.places[request.request_id] = (group, position)
    wait = queue.waits.get(request.request_id)
    if wait is not None:
        account.large[wait.serial] = request.request_id


def _get_kind(queue: QueueState, request: requests.Request, immune: bool) -> Kind:
    is_urgent = request.urgency is requests.Urgency.URGENT
    key = (request.shape, is_urgent, request.preemptible, immune)
    kind = queue.kinds.get(key)
    if kind is None:
        is_limited = not is_urgent and (immune or not request.preemptible)
        kind = queue.kinds[key] = Kind(*key, is_limited)
    return kind


def track_large_job(queue: QueueState, request_id: str, now_s: float) -> None:
    """Starts to track the wait of a large job; called before the job is added."""
    if request_id not in queue.waits:
        queue.waits[request_id] = LargeWait(queue.serial, now_s, queue.starts)


def remove_request(queue: QueueState, request_id: str) -> requests.Request | None:
    """Removes and returns a waiting request, or returns None if it is not waiting."""
    place = queue.places.pop(request_id, None)
    if place is None:
        return None
    group, position = place
    account = queue.accounts[group.client_account]
    wait = queue.waits.get(request_id)
    if wait is not None:
        account.large.pop(wait.serial, None)
    request = group.requests.pop(position)
    if not group.requests:
        key = (group.urgency, group.client_account, group.shape, group.preemptible, group.immune)
        del queue.groups[key]
        kind = group.kind
        kind.groups -= 1
        if not kind.groups:
            del queue.kinds[kind.shape, kind.is_urgent, kind.preemptible, kind.immune]
        groups = account.groups[group.urgency]
        del groups[key]
        if not groups:
            queue.active[group.urgency].discard(group.client_account)
    return request


def get_request(queue: QueueState, request_id: str) -> requests.Request | None:
    """Returns a waiting request, or None if it is not waiting."""
    place = queue.places.get(request_id)
    return None if place is None else place[0].requests[place[1]]


def list_oldest_large_jobs(queue: QueueState) -> list[tuple[int, str]]:
    """Returns serial number and request of each account's oldest large job, oldest first."""
    return sorted(account.large.peekitem(0) for account in queue.accounts.values() if account.large)


def update_usage(account: AccountState, accelerators: int, rate: float, now_s: float) -> None:
    """Adds allocated capacity to an account's usage; negative numbers release capacity.

    Args:
        account: The client account.
        accelerators: Change of the accelerators that count against the quota.
        rate: Change of the charge for each second, in accelerators.
        now_s: Current time.
    """
    account.usage = _compute_usage(account, now_s)
    account.usage_at_s = max(now_s, account.usage_at_s)
    account.in_use += accelerators
    if accelerators < 0:
        account.version += 1
    account.rate += rate


def _compute_usage(account: AccountState, now_s: float) -> float:
    elapsed_s = max(0.0, now_s - account.usage_at_s)
    decay = 0.5 ** (elapsed_s / USAGE_HALF_LIFE_S)
    return account.usage * decay + account.rate * (1 - decay) * USAGE_HALF_LIFE_S / math.log(2)


def compute_weighted_usage(account: AccountState, now_s: float) -> float:
    """Returns the usage of an account by weight; the account with the lowest is served next."""
    return (_compute_usage(account, now_s) + account.rate * START_CHARGE_S) / account.weight
