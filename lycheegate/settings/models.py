"""Models of the settings of an entry VM.

The models define types, defaults and ranges; ``lycheegate.settings.loader`` reports every violation
with its location. The suffix of a name is its unit.
"""

import datetime
import enum
from typing import Annotated

import msgspec

from lycheegate.core import policy
from lycheegate.keys import tokens
from lycheegate.model import requests, resources

__all__ = [
    "EntrySettings",
    "JobClassSettings",
    "LimitSettings",
    "LogLevel",
    "LogSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "PolicyModel",
    "ShapeModel",
    "StatsdSettings",
    "TlsSettings",
    "UrgencyName",
    "make_policy",
    "make_shape",
    "make_urgency",
]

# Patterns end in \Z, because $ would also match before a trailing line break.
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}\Z"
# IP numbers only: with host names, start-up would depend on a name service.
ADDRESS_PATTERN = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}\Z"
_URL_PATTERN = r"^https?://[^/\s]+(/[^\s]*)?\Z"
MIN_KEY_LENGTH = 32


_ALLOWED_TEXTS = {
    NAME_PATTERN: "name of a-z, 0-9, `.`, `_` and `-`, at most 63 characters",
    ADDRESS_PATTERN: "IP number:port, such as 10.0.0.1:8080 or [fd00::1]:8080",
    _URL_PATTERN: "URL with http or https",
    tokens.HASH_PATTERN: "`sha256$<salt>$<digest>` as `lycheegate keys new` prints it",
}


def _text(description: str, pattern: str | None = None, min_length: int | None = None):
    extra = {"allowed": _ALLOWED_TEXTS[pattern]} if pattern is not None else None
    return msgspec.Meta(
        description=description, pattern=pattern, min_length=min_length, extra=extra
    )


def _number(description: str, ge: float | None = None, le: float | None = None, gt=None):
    return msgspec.Meta(description=description, ge=ge, le=le, gt=gt)


Name = Annotated[
    str, msgspec.Meta(pattern=NAME_PATTERN, extra={"allowed": _ALLOWED_TEXTS[NAME_PATTERN]})
]


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class UrgencyName(enum.StrEnum):
    """Urgency of a job class, as spelled in the settings."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class ShapeModel(_Model, kw_only=True):
    """Resources required by a request of a job class."""

    members: Annotated[int, _number("Members of the gang; 1 for a single task.", 1, 64)] = 1
    accelerators: Annotated[int, _number("Accelerators of each member.", 0, 64)] = 0
    adjacency: Annotated[
        resources.Adjacency, msgspec.Meta(description="Where all members must lie together.")
    ] = resources.Adjacency.DATA_CENTRE


class JobClassSettings(_Model, kw_only=True):
    """Job class, which callers specify in their requests."""

    urgency: Annotated[UrgencyName, msgspec.Meta(description="Order of service.")] = (
        UrgencyName.NORMAL
    )
    idempotent: Annotated[bool, msgspec.Meta(description="Whether it may run more than once.")]
    preemptible: Annotated[
        bool, msgspec.Meta(description="Whether it may be stopped; implies `idempotent`.")
    ] = False
    shape: Annotated[ShapeModel, msgspec.Meta(description="Shape of a request without one.")] = (
        ShapeModel()
    )
    deadline_s: Annotated[
        Annotated[float, msgspec.Meta(gt=0, le=604800)] | None,
        msgspec.Meta(description="Deadline of a request without one."),
    ] = None


class PlatformSettings(_Model, kw_only=True):
    """Addresses of the platform's services."""

    table: Annotated[str, _text("URL of the table service.", _URL_PATTERN)]
    objects: Annotated[str, _text("URL of the object store.", _URL_PATTERN)]
    vms: Annotated[str, _text("URL of the VM list.", _URL_PATTERN)]


class PeerSettings(_Model, kw_only=True):
    """Another entry VM, used to discover the remaining ones."""

    vm_id: Annotated[str, _text("Identifier of the peer.", NAME_PATTERN)]
    address: Annotated[str, _text("Its `peers_address`.", ADDRESS_PATTERN)]


class OperatorSettings(_Model, kw_only=True):
    """Operator with access to the operators' interface."""

    name: Annotated[str, _text("Name, written into releases and logs.", NAME_PATTERN)]
    token_hash: Annotated[str, _text("Hash from `lycheegate keys new`.", tokens.HASH_PATTERN)]
    expires_on: Annotated[
        datetime.date | None, msgspec.Meta(description="Last valid day of the token (UTC).")
    ] = None


class LimitSettings(_Model, kw_only=True):
    """Resource limits of the entry VM."""

    caller_threads: Annotated[int, _number("Threads that serve callers.", 1, 512)] = 32
    caller_queue: Annotated[int, _number("Connections that may wait for them.", 0, 4096)] = 128
    operator_threads: Annotated[int, _number("Requests of operators at once.", 1, 64)] = 4
    worker_threads: Annotated[int, _number("Threads that call workers.", 1, 512)] = 32
    worker_queue: Annotated[int, _number("Orders that may wait for them.", 1, 65536)] = 4096
    table_threads: Annotated[int, _number("Threads that call the platform.", 1, 128)] = 8
    table_queue: Annotated[int, _number("Operations that may wait.", 1, 65536)] = 1024
    max_body_bytes: Annotated[int, _number("Largest request body.", 1024, 67108864)] = 1048576
    max_answer_bytes: Annotated[int, _number("Largest answer of a job.", 1024, 1073741824)] = (
        67108864
    )
    max_waiting: Annotated[int, _number("Callers that wait for an answer at once.", 1, 65536)] = 512
    max_wait_s: Annotated[float, _number("Longest `wait_s` of a caller.", 0, 600)] = 60.0
    rate_per_caller_per_s: Annotated[
        float, _number("Requests a second that one caller may send.", 0.01, 100000)
    ] = 50.0
    burst_per_caller: Annotated[
        int, _number("Requests that one caller may send at once.", 1, 100000)
    ] = 100
    drain_timeout_s: Annotated[
        float, _number("Longest time a drain waits for requests in flight.", 1, 3600)
    ] = 30.0


class TlsSettings(_Model, kw_only=True):
    """TLS certificate for the callers' address."""

    certificate_file: Annotated[str, _text("PEM file with the chain.", min_length=1)]
    key_file: Annotated[str, _text("PEM file with the private key.", min_length=1)]


class StatsdSettings(_Model, kw_only=True):
    """Statsd server to which counters are sent over UDP."""

    address: Annotated[str, _text("Address of the statsd server.", ADDRESS_PATTERN)]
    prefix: Annotated[str, _text("Prefix of every counter.", NAME_PATTERN)] = "lycheegate"


class LogLevel(enum.StrEnum):
    """Minimum level of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(_Model, kw_only=True):
    """Settings of the log, which is written to standard error because entry VMs have no disks."""

    level: Annotated[LogLevel, msgspec.Meta(description="Lowest level that is logged.")] = (
        LogLevel.INFO
    )


class PolicyModel(_Model, kw_only=True):
    """Scheduling policy: the fields of ``lycheegate.core.policy.PolicySettings`` with ranges."""

    completion_weight: Annotated[float, _number("Weight of completion time.", 0, 1)] = 0.5
    fragmentation_weight: Annotated[float, _number("Weight of fragmentation.", 0, 1)] = 0.5
    urgent_reserve_ratio: Annotated[
        float, _number("Share kept free of non-urgent work that cannot be preempted.", 0, 0.9)
    ] = 0.1
    preemption_grace_s: Annotated[float, _number("Time to checkpoint.", 0, 60)] = 2.0
    max_bypass_s: Annotated[
        float, _number("Wait after which a large job gets a reservation.", 0, 86400)
    ] = 60.0
    max_bypass_count: Annotated[
        int, _number("Placements of others after which it gets one.", 1, 1000000)
    ] = 50
    max_reservation_wait_s: Annotated[
        float, _number("Wait after which preemptible work in the block is stopped.", 0, 86400)
    ] = 60.0
    large_accelerators: Annotated[
        int, _number("Accelerators from which a job is large.", 1, 4096)
    ] = 8
    max_attempts: Annotated[int, _number("Attempts of a request that may run again.", 1, 100)] = 4
    retry_backoff_s: Annotated[float, _number("First delay before another attempt.", 0.01, 600)] = (
        0.2
    )
    quarantine_failures: Annotated[
        int, _number("Consecutive failures that quarantine a worker.", 1, 1000)
    ] = 5
    quarantine_requests: Annotated[
        int, _number("Distinct requests that they must span.", 1, 1000)
    ] = 3
    probe_interval_s: Annotated[
        float, _number("Time between probes of a quarantined worker.", 0.1, 86400)
    ] = 30.0
    bad_job_workers: Annotated[
        int, _number("Workers on which a request fails before it ends failed.", 1, 100)
    ] = 3
    outcome_wait_s: Annotated[
        float, _number("Wait of a non-idempotent request for a lost worker.", 0, 86400)
    ] = 30.0
    hold_timeout_s: Annotated[float, _number("Time to hold all members of a gang.", 0.1, 60)] = 2.0
    max_queued_per_account: Annotated[
        int, _number("Waiting requests of one client account.", 1, 1000000)
    ] = 2000
    max_queued: Annotated[int, _number("Waiting requests of a partition.", 1, 1000000)] = 10000
    max_preemptions: Annotated[
        int, _number("Times that one request may be preempted.", 0, 1000)
    ] = 3


class EntrySettings(_Model, kw_only=True):
    """Contents of the settings file of an entry VM."""

    vm_id: Annotated[str, _text("Identifier of this VM; unique.", NAME_PATTERN)]
    region: Annotated[str, _text("Region of this VM.", NAME_PATTERN)]
    data_centre: Annotated[str, _text("Data centre of this VM.", NAME_PATTERN)]
    callers_address: Annotated[str, _text("Where callers and operators connect.", ADDRESS_PATTERN)]
    peers_address: Annotated[str, _text("Where other entry VMs connect.", ADDRESS_PATTERN)]
    peers: Annotated[
        list[PeerSettings], msgspec.Meta(description="Peers to start from; may be empty.")
    ] = []
    platform: Annotated[PlatformSettings, msgspec.Meta(description="The platform's services.")]
    peer_key: Annotated[
        Annotated[str, msgspec.Meta(min_length=MIN_KEY_LENGTH)] | None,
        msgspec.Meta(
            description="Key shared by all entry VMs; or give `peer_key_file`. Further keys "
            "after a space are accepted but not used, for rotation."
        ),
    ] = None
    peer_key_file: Annotated[
        Annotated[str, msgspec.Meta(min_length=1)] | None,
        msgspec.Meta(description="File that holds the key, or several, one a line."),
    ] = None
    operators: Annotated[
        list[OperatorSettings],
        msgspec.Meta(description="Operators; at least one.", min_length=1),
    ]
    job_classes: Annotated[
        dict[Name, JobClassSettings],
        msgspec.Meta(description="Job classes by name; at least one.", min_length=1),
    ]
    partitions: Annotated[
        dict[Name, Annotated[int, msgspec.Meta(ge=1, le=64)]],
        msgspec.Meta(description="Partitions of a data centre, if not 1; same on all VMs."),
    ] = {}
    policy: Annotated[PolicyModel, msgspec.Meta(description="Scheduling policy.")] = PolicyModel()
    limits: Annotated[LimitSettings, msgspec.Meta(description="Bounds.")] = LimitSettings()
    tls: Annotated[TlsSettings | None, msgspec.Meta(description="Plain HTTP without it.")] = None
    statsd: Annotated[
        StatsdSettings | None, msgspec.Meta(description="No counters are sent without it.")
    ] = None
    log: Annotated[LogSettings, msgspec.Meta(description="Log.")] = LogSettings()


def make_policy(model: PolicyModel) -> policy.PolicySettings:
    """Returns the policy as the type that the scheduler uses."""
    return policy.PolicySettings(**msgspec.structs.asdict(model))


def make_shape(model: ShapeModel) -> resources.Shape:
    """Converts a shape to the domain model."""
    return resources.Shape(model.members, model.accelerators, model.adjacency)


def make_urgency(name: UrgencyName) -> requests.Urgency:
    """Converts an urgency to the domain model."""
    return requests.Urgency[name.name]
