"""Whether submissions of a queue may be refused under overload, as its configuration changes.

Handles a change of the field ``refuse-late`` while VMs have different views of the configuration. A
refusal is only true if no transaction without the condition on its mark can store the job any more.
A VM therefore refuses only after all calls by older views have ended, and keeps the condition after
the field was removed until no refusal by an older view can be in force.
"""

import dataclasses

from lycheegate.jobs import admission, model

__all__ = [
    "MAX_TIME_LIMIT_S",
    "Switches",
    "apply_configuration",
    "compute_keep_s",
    "compute_on_delay_s",
    "is_any_on",
    "is_bound",
    "may_refuse",
]

MAX_TIME_LIMIT_S = 60.0
"""Longest time limit that a caller can set for a submission."""
LAST_CALL_S = 6.0
"""Time after that limit in which the last call to the store may still be executed: the store client
gives up after 1 s, and the store may be late by some seconds."""
MAX_SUBMISSION_S = MAX_TIME_LIMIT_S + LAST_CALL_S
"""Time from the start of a submission until nothing that it has sent can be executed any more."""

Address = tuple[str, str]
"""Host and path prefix of a queue. A call is bound by where it is sent: a queue of another name may
take the same calls in another version of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """Queues that refuse late jobs, or did so, in the versions that this VM has seen.

    Attributes:
        version: Version of the configuration that was last applied, or None.
        on_since_s: Time since which this VM knows that each queue refuses late jobs.
        off_since_s: When this VM saw that each other queue no longer does so.
    """

    version: int | None = None
    on_since_s: dict[Address, float] = dataclasses.field(default_factory=dict)
    off_since_s: dict[Address, float] = dataclasses.field(default_factory=dict)


def apply_configuration(
    switches: Switches, configuration: model.Configuration, now_s: float
) -> Switches:
    """Returns the switches after a version of the configuration has come into force on this VM.

    A queue may have been switched off and on again in versions that this VM has not seen, so times
    since which queues are on are kept only from one version to the next.
    """
    is_next = switches.version is not None and configuration.version == switches.version + 1
    before = switches.on_since_s
    on = {_get_address(r) for r in configuration.routes.values() if r.refuses_late}
    on_since_s = {address: before.get(address, now_s) if is_next else now_s for address in on}
    off_since_s = {**switches.off_since_s, **dict.fromkeys(before, now_s)}
    return Switches(
        configuration.version,
        on_since_s,
        {address: at_s for address, at_s in off_since_s.items() if address not in on},
    )


def is_any_on(configuration: model.Configuration | None) -> bool:
    """Returns whether any queue refuses late jobs."""
    return configuration is not None and any(
        route.refuses_late for route in configuration.routes.values()
    )


def may_refuse(switches: Switches, route: model.Route, now_s: float, max_view_age_s: float) -> bool:
    """Returns whether this VM may refuse a submission of a queue.

    Args:
        switches: Switches of this VM.
        route: The queue, as this VM saw it when the submission began.
        now_s: Current time.
        max_view_age_s: Age of its view of the configuration above which a VM takes no submissions.
    """
    on_since_s = switches.on_since_s.get(_get_address(route))
    if not route.refuses_late or on_since_s is None:
        return False
    return now_s - on_since_s >= compute_on_delay_s(max_view_age_s)


def is_bound(
    switches: Switches,
    route: model.Route,
    now_s: float,
    max_view_age_s: float,
    load_age_s: float | None,
) -> bool:
    """Returns whether a submission of a queue must be stored on the condition of no refusal.

    Args:
        switches: Switches of this VM.
        route: The queue, as this VM saw it when the submission began.
        now_s: Current time.
        max_view_age_s: Age of its view of the configuration above which a VM takes no submissions.
        load_age_s: Age of the last load that any holder has published, or None. Only a deployment
            that refuses late jobs has one. It shows that some queue did so before this VM started,
            or in a version that it has not seen.
    """
    address = _get_address(route)
    if route.refuses_late or address in switches.on_since_s:
        return True
    keep_s = compute_keep_s(max_view_age_s)
    off_since_s = switches.off_since_s.get(address)
    if off_since_s is not None and now_s - off_since_s < keep_s:
        return True
    return not switches.on_since_s and load_age_s is not None and load_age_s < keep_s


def compute_on_delay_s(max_view_age_s: float) -> float:
    """Returns the time after which no submission by an older view is still on its way."""
    return max_view_age_s + MAX_SUBMISSION_S


def compute_keep_s(max_view_age_s: float) -> float:
    """Returns the time after which no refusal by an older view is in force any more.

    The last such refusal is stored within a submission that began by an older view. Its mark holds
    for as long as its caller is told to wait, and binds the calls that began in that time.
    """
    return max_view_age_s + 2.0 * MAX_SUBMISSION_S + admission.MAX_RETRY_AFTER_S


def _get_address(route: model.Route) -> Address:
    return route.host, route.path_prefix.rstrip("/")
