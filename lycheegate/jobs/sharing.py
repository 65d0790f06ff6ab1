"""Division of room between client accounts during a scheduling pass.

Handles loads in which one client account submits a hundred jobs at once while others submit one.
It applies only if the operators state a weight for some account, and only to a service for which
more work waits than fits, of more than one account. Waiting
tasks of equal level, lateness, queue priority and slack band are then placed in turns of the
accounts (``shares``); otherwise their order is that of ``ordering``.
"""

import dataclasses

from lycheegate.jobs import commands, headroom, model, shares, state, units

__all__ = [
    "ClassKey",
    "Turns",
    "charge_placed",
    "charge_reserved",
    "list_turns",
    "make_class_key",
    "measure_shares",
    "update_recent_use",
]

REPORT_INTERVAL_S = 5.0
"""Minimum time between two log lines about the shares in one service."""
MAX_REPORTED_ACCOUNTS = 10
"""Maximum number of accounts in a log line; those furthest from the equal share are named."""

MIN_FRAGMENTED_RATIO = 0.5
"""Part of the free room up to which the waiting work is not checked for too small parts of it."""
MAX_CHECKED_SHAPES = 8
"""Maximum number of labels and needs in this check, each of which takes a search of all workers."""

ClassKey = tuple[str, int, bool, int, int]
"""Service, and the part of a rank that goes before the shares of accounts."""


@dataclasses.dataclass(slots=True)
class _Entry:
    """A waiting unit, with the number of its tasks that were placed or skipped in this pass."""

    unit: units.Unit
    passed: int = 0


class Turns:
    """Waiting units of one class, whose tasks are placed in turns of their accounts.

    Args:
        listed: The units in order of rank.
        account_shares: Shares of the accounts.
    """

    def __init__(self, listed: list[units.Unit], account_shares: shares.AccountShares):
        items = ((unit.job.job.account, _Entry(unit)) for unit in listed)
        self._queue = shares.TurnQueue(items, account_shares.compute_turn_key)

    def get_next(self) -> units.Unit | None:
        """Returns the next task or gang to place, or None if none is left."""
        entry = self._queue.get_next()
        if entry is None or entry.unit.step.step.gang:
            return entry and entry.unit
        return dataclasses.replace(entry.unit, indices=[entry.unit.indices[entry.passed]])

    def end_turn(self, goes_on: bool) -> None:
        """Ends a turn; the other tasks of the step are tried only if ``goes_on``."""
        entry = self._queue.get_next()
        entry.passed += 1
        is_gang = entry.unit.step.step.gang
        self._queue.end_turn(is_gang or not goes_on or entry.passed == len(entry.unit.indices))


def update_recent_use(current: state.SchedulerState, now_s: float) -> None:
    """Measures what each client account uses of each service, and adds it to its recent use.

    Does nothing unless the configuration divides room between accounts.
    """
    if current.configuration is None or not current.configuration.divides_room:
        return
    # Jobs of one queue share a service, whose look-up for each job would take most of the time.
    sums: dict[tuple[str, str], list[int]] = {}
    service_by_queue: dict[str, str] = {}
    for job in current.jobs.values():
        queue = job.route.name
        for step in job.steps.values():
            count = len(step.runs)
            if not count:
                continue
            if queue not in service_by_queue:
                service_by_queue[queue] = state.get_route(current, job).service
            total = sums.setdefault((service_by_queue[queue], job.job.account), [0, 0, 0])
            need = step.step.need
            total[0] += count * need.cpu_millicores
            total[1] += count * need.memory_mb
            total[2] += count * need.accelerators
    used = {key: (float(t[0]), float(t[1]), float(t[2])) for key, t in sums.items()}
    shares.update_recent(current.recent_use, used, now_s)


def measure_shares(context: units.PassContext, waiting: list[units.Unit]) -> None:
    """Computes the shares of accounts in each service for which more of them wait than fit.

    They are added to the context, and logged at most once per ``REPORT_INTERVAL_S``.

    Args:
        context: Context of the pass; its capacities are known.
        waiting: Waiting units.
    """
    configuration = context.current.configuration
    if configuration is None or not configuration.divides_room:
        return
    by_service: dict[str, list[units.Unit]] = {}
    for unit in waiting:
        by_service.setdefault(unit.service, []).append(unit)
    for service, listed in by_service.items():
        accounts = {unit.job.job.account for unit in listed}
        if len(accounts) > 1 and _is_contended(context, service, listed):
            context.account_shares[service] = _make_shares(context, service, accounts)
            _report(context, service, listed)


def _is_contended(context: units.PassContext, service: str, listed: list[units.Unit]) -> bool:
    """Returns whether the waiting units certainly exceed the room that is free for them."""
    capacity = context.capacities.get(service)
    if capacity is None:
        return False
    room = context.workers.sum_room(service)
    needed = shares.NOTHING
    not_urgent = 0.0
    for unit in listed:
        needed = shares.add_need(needed, unit.step.step.need, len(unit.indices))
        if unit.rank.level >= 2:
            not_urgent += units.compute_share(context, unit)
        if any(n > r for n, r in zip(needed, room, strict=True)):
            return True
        if not_urgent > 0.0 and not headroom.admits(capacity, not_urgent):
            return True
    if all(n <= MIN_FRAGMENTED_RATIO * r for n, r in zip(needed, room, strict=True)):
        return False
    return _exceeds_places(context, service, listed)


def _exceeds_places(context: units.PassContext, service: str, listed: list[units.Unit]) -> bool:
    """Returns whether more tasks of some label and need wait than there are places for them.

    The room of a service may suffice in total although it is divided into too small parts, or is on
    workers without the label.
    """
    counts: dict[tuple[str, model.Resources], int] = {}
    for unit in listed:
        shape = (unit.step.step.label, unit.step.step.need)
        counts[shape] = counts.get(shape, 0) + len(unit.indices)
    most_frequent = sorted(counts, key=lambda shape: -counts[shape])[:MAX_CHECKED_SHAPES]
    return any(
        counts[label, need]
        > context.workers.count_places(service, label, need, counts[label, need])
        for label, need in most_frequent
    )


def _make_shares(
    context: units.PassContext, service: str, waiting_accounts: set[str]
) -> shares.AccountShares:
    recent = context.current.recent_use
    using = {account for name, account in recent.averages.keys() | recent.used if name == service}
    amounts: dict[str, shares.Amounts] = {}
    for account in using | waiting_accounts:
        key = (service, account)
        past, now = shares.compute_recent(recent, key), recent.used.get(key, shares.NOTHING)
        amounts[account] = tuple(p + n for p, n in zip(past, now, strict=True))
    configuration = context.current.configuration
    known = configuration.accounts.values() if configuration is not None else ()
    weights = {account.name: account.weight for account in known}
    total = shares.NOTHING
    for worker in context.current.workers.values():
        if worker.service == service and context.workers.is_usable(worker.worker_id):
            total = shares.add_need(total, worker.capacity, 1)
    return shares.AccountShares(total, amounts, weights)


def make_class_key(unit: units.Unit) -> ClassKey:
    """Returns the service of a unit and what goes before the shares of accounts in its rank."""
    rank = unit.rank
    return (unit.service, rank.level, rank.is_late, rank.priority, rank.slack_band)


def list_turns(context: units.PassContext, waiting: list[units.Unit]) -> dict[ClassKey, Turns]:
    """Returns the turns of each class in which units of several accounts compete.

    Guaranteed urgent work is never held back for other accounts, so it has no turns.

    Args:
        context: Context of the pass, with the shares of accounts.
        waiting: Waiting units in order of rank.
    """
    by_class: dict[ClassKey, list[units.Unit]] = {}
    for unit in waiting:
        if unit.service in context.account_shares and unit.rank.level > 0:
            by_class.setdefault(make_class_key(unit), []).append(unit)
    return {
        key: Turns(listed, context.account_shares[key[0]])
        for key, listed in by_class.items()
        if any(unit.job.job.account != listed[0].job.job.account for unit in listed)
    }


def charge_placed(context: units.PassContext, unit: units.Unit) -> None:
    """Adds a unit that was placed to the share and the present use of its account."""
    used = context.current.recent_use.used
    key = (unit.service, unit.job.job.account)
    used[key] = shares.add_need(
        used.get(key, shares.NOTHING), unit.step.step.need, len(unit.indices)
    )
    charge_reserved(context, unit)


def charge_reserved(context: units.PassContext, unit: units.Unit) -> None:
    """Adds a unit for which room is reserved to the share of its account in this pass."""
    account_shares = context.account_shares.get(unit.service)
    if account_shares is not None:
        account_shares.add(unit.job.job.account, unit.step.step.need, len(unit.indices))


def _report(context: units.PassContext, service: str, listed: list[units.Unit]) -> None:
    """Logs the shares, waiting tasks and longest waits of the accounts that wait."""
    reported_at_s = context.current.recent_use.reported_at_s
    if context.now_s - reported_at_s.get(service, -REPORT_INTERVAL_S) < REPORT_INTERVAL_S:
        return
    reported_at_s[service] = context.now_s
    tasks: dict[str, int] = {}
    waited_s: dict[str, float] = {}
    for unit in listed:
        account = unit.job.job.account
        tasks[account] = tasks.get(account, 0) + len(unit.indices)
        unit_waited_s = unit.step.compute_waited_s(context.now_s)
        waited_s[account] = max(waited_s.get(account, 0.0), unit_waited_s)
    account_shares = context.account_shares[service]
    equal_share = account_shares.equal_share
    extreme = sorted(tasks, key=lambda a: (-abs(account_shares.get_share(a) - equal_share), a))
    fields = {
        "service": service,
        "equal_share": round(equal_share, 3),
        "accounts": [
            {
                "account": account,
                "share": round(account_shares.get_share(account), 3),
                "tasks": tasks[account],
                "oldest_s": round(waited_s[account], 3),
            }
            for account in extreme[:MAX_REPORTED_ACCOUNTS]
        ],
        "more": max(0, len(tasks) - MAX_REPORTED_ACCOUNTS),
    }
    context.result.append(commands.Decision("shares", fields))
