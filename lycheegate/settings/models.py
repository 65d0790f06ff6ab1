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
# IP addresses only: with host names, start-up would depend on a name service.
ADDRESS_PATTERN = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}\Z"
_URL_PATTERN = r"^https?://[^/\s]+(/[^\s]*)?\Z"
MIN_KEY_LENGTH = 32


_ALLOWED_TEXTS = {
    NAME_PATTERN: "name of a-z, 0-9, `.`, `_` and `-`, at most 63 characters",
    ADDRESS_PATTERN: "IP address and port, such as 10.0.0.1:8080 or [fd00::1]:8080",
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

    members: Annotated[int, _number("Number of gang members; 1 for a single task.", 1, 64)] = 1
    accelerators: Annotated[int, _number("Accelerators of each member.", 0, 64)] = 0
    adjacency: Annotated[
        resources.Adjacency,
        msgspec.Meta(description="Topology domain that all members must share."),
    ] = resources.Adjacency.DATA_CENTRE


class JobClassSettings(_Model, kw_only=True):
    """Job class, which callers specify in their requests."""

    urgency: Annotated[
        UrgencyName, msgspec.Meta(description="Scheduling priority of its requests.")
    ] = UrgencyName.NORMAL
    idempotent: Annotated[
        bool, msgspec.Meta(description="Whether a request may run more than once.")
    ]
    preemptible: Annotated[
        bool, msgspec.Meta(description="Whether a request may be preempted; requires `idempotent`.")
    ] = False
    shape: Annotated[ShapeModel, msgspec.Meta(description="Default shape of a request.")] = (
        ShapeModel()
    )
    deadline_s: Annotated[
        Annotated[float, msgspec.Meta(gt=0, le=604800)] | None,
        msgspec.Meta(description="Default deadline of a request."),
    ] = None


class PlatformSettings(_Model, kw_only=True):
    """Addresses of the platform's services."""

    table: Annotated[str, _text("URL of the table service.", _URL_PATTERN)]
    objects: Annotated[str, _text("URL of the object store.", _URL_PATTERN)]
    vms: Annotated[str, _text("URL of the VM list.", _URL_PATTERN)]


class PeerSettings(_Model, kw_only=True):
    """Another entry VM, used to discover the remaining ones."""

    vm_id: Annotated[str, _text("Identifier of the peer.", NAME_PATTERN)]
    address: Annotated[str, _text("`peers_address` of the peer.", ADDRESS_PATTERN)]


class OperatorSettings(_Model, kw_only=True):
    """Operator with access to the operators' interface."""

    name: Annotated[str, _text("Name of the operator in releases and logs.", NAME_PATTERN)]
    token_hash: Annotated[str, _text("Token hash from `lycheegate keys new`.", tokens.HASH_PATTERN)]
    expires_on: Annotated[
        datetime.date | None, msgspec.Meta(description="Last valid day of the token (UTC).")
    ] = None


class LimitSettings(_Model, kw_only=True):
    """Resource limits of the entry VM."""

    caller_threads: Annotated[int, _number("Number of threads that serve callers.", 1, 512)] = 32
    caller_queue: Annotated[
        int, _number("Maximum number of connections waiting for a caller thread.", 0, 4096)
    ] = 128
    operator_threads: Annotated[
        int, _number("Maximum number of concurrent operator requests.", 1, 64)
    ] = 4
    worker_threads: Annotated[int, _number("Number of threads that call workers.", 1, 512)] = 32
    worker_queue: Annotated[
        int, _number("Maximum number of orders waiting for a worker thread.", 1, 65536)
    ] = 4096
    table_threads: Annotated[int, _number("Number of threads that call the platform.", 1, 128)] = 8
    table_queue: Annotated[
        int, _number("Maximum number of operations waiting for a table thread.", 1, 65536)
    ] = 1024
    max_body_bytes: Annotated[int, _number("Maximum size of a request body.", 1024, 67108864)] = (
        1048576
    )
    max_answer_bytes: Annotated[
        int, _number("Maximum size of the answer of a job.", 1024, 1073741824)
    ] = 67108864
    max_waiting: Annotated[
        int, _number("Maximum number of callers concurrently waiting for an answer.", 1, 65536)
    ] = 512
    max_wait_s: Annotated[float, _number("Maximum `wait_s` of a caller.", 0, 600)] = 60.0
    rate_per_caller_per_s: Annotated[
        float, _number("Maximum sustained request rate of one caller.", 0.01, 100000)
    ] = 50.0
    burst_per_caller: Annotated[
        int, _number("Maximum burst of requests of one caller.", 1, 100000)
    ] = 100
    drain_timeout_s: Annotated[
        float, _number("Maximum time that a drain waits for requests in flight.", 1, 3600)
    ] = 30.0


class TlsSettings(_Model, kw_only=True):
    """TLS certificate for the callers' address."""

    certificate_file: Annotated[str, _text("PEM file with the certificate chain.", min_length=1)]
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

    level: Annotated[LogLevel, msgspec.Meta(description="Minimum level of logged lines.")] = (
        LogLevel.INFO
    )


class PolicyModel(_Model, kw_only=True):
    """Scheduling policy: the fields of ``lycheegate.core.policy.PolicySettings`` with ranges."""

    completion_weight: Annotated[
        float, _number("Weight of completion time in placement.", 0, 1)
    ] = 0.5
    fragmentation_weight: Annotated[
        float, _number("Weight of fragmentation in placement.", 0, 1)
    ] = 0.5
    urgent_reserve_ratio: Annotated[
        float,
        _number(
            "Share of capacity not available to non-urgent work that cannot be preempted.", 0, 0.9
        ),
    ] = 0.1
    preemption_grace_s: Annotated[
        float, _number("Time that a preempted task has to checkpoint.", 0, 60)
    ] = 2.0
    max_bypass_s: Annotated[
        float, _number("Waiting time after which a large job gets a reservation.", 0, 86400)
    ] = 60.0
    max_bypass_count: Annotated[
        int, _number("Starts of other work after which a large job gets a reservation.", 1, 1000000)
    ] = 50
    max_reservation_wait_s: Annotated[
        float,
        _number("Time after which preemptible work on a reserved block is stopped.", 0, 86400),
    ] = 60.0
    large_accelerators: Annotated[
        int, _number("Smallest number of accelerators, or of members, of a large job.", 1, 4096)
    ] = 8
    max_attempts: Annotated[
        int, _number("Maximum number of attempts of a request that may run again.", 1, 100)
    ] = 4
    retry_backoff_s: Annotated[
        float, _number("Upper bound of the first delay before another attempt.", 0.01, 600)
    ] = 0.2
    quarantine_failures: Annotated[
        int, _number("Consecutive failures that put a worker in quarantine.", 1, 1000)
    ] = 5
    quarantine_requests: Annotated[
        int, _number("Distinct requests to which these failures must belong.", 1, 1000)
    ] = 3
    probe_interval_s: Annotated[
        float, _number("Time between probes of a quarantined worker.", 0.1, 86400)
    ] = 30.0
    bad_job_workers: Annotated[
        int,
        _number(
            "Distinct healthy workers on which a request must fail before it ends as failed.",
            1,
            100,
        ),
    ] = 3
    outcome_wait_s: Annotated[
        float,
        _number(
            "Time that a non-idempotent request waits for a lost worker to report its outcome.",
            0,
            86400,
        ),
    ] = 30.0
    hold_timeout_s: Annotated[
        float, _number("Time within which all members of a gang must be held.", 0.1, 60)
    ] = 2.0
    max_queued_per_account: Annotated[
        int, _number("Maximum number of waiting requests of one client account.", 1, 1000000)
    ] = 2000
    max_queued: Annotated[
        int, _number("Maximum number of waiting requests of a partition.", 1, 1000000)
    ] = 10000
    max_preemptions: Annotated[
        int,
        _number("Preemptions after which a request is preempted only for a guarantee.", 0, 1000),
    ] = 3


class EntrySettings(_Model, kw_only=True):
    """Contents of the settings file of an entry VM."""

    vm_id: Annotated[str, _text("Unique identifier of this VM.", NAME_PATTERN)]
    region: Annotated[str, _text("Region of this VM.", NAME_PATTERN)]
    data_centre: Annotated[str, _text("Data centre of this VM.", NAME_PATTERN)]
    callers_address: Annotated[
        str, _text("Listen address for callers and operators.", ADDRESS_PATTERN)
    ]
    peers_address: Annotated[str, _text("Listen address for other entry VMs.", ADDRESS_PATTERN)]
    peers: Annotated[
        list[PeerSettings], msgspec.Meta(description="Peers to contact at start; may be empty.")
    ] = []
    platform: Annotated[
        PlatformSettings, msgspec.Meta(description="Addresses of the platform's services.")
    ]
    peer_key: Annotated[
        Annotated[str, msgspec.Meta(min_length=MIN_KEY_LENGTH)] | None,
        msgspec.Meta(
            description="Key shared by all entry VMs; alternative to `peer_key_file`. Further "
            "keys, separated by spaces, are accepted from peers but not used, for rotation."
        ),
    ] = None
    peer_key_file: Annotated[
        Annotated[str, msgspec.Meta(min_length=1)] | None,
        msgspec.Meta(description="File with the peer key, or with several keys, one per line."),
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
        msgspec.Meta(
            description="Number of partitions by data centre; default 1, same on all VMs."
        ),
    ] = {}
    policy: Annotated[PolicyModel, msgspec.Meta(description="Scheduling policy.")] = PolicyModel()
    limits: Annotated[
        LimitSettings, msgspec.Meta(description="Resource limits of the entry VM.")
    ] = LimitSettings()
    tls: Annotated[
        TlsSettings | None,
        msgspec.Meta(description="TLS certificate; if absent, callers connect over plain HTTP."),
    ] = None
    statsd: Annotated[
        StatsdSettings | None,
        msgspec.Meta(description="Statsd server; if absent, no counters are sent."),
    ] = None
    log: Annotated[LogSettings, msgspec.Meta(description="Settings of the log.")] = LogSettings()


def make_policy(model: PolicyModel) -> policy.PolicySettings:
    """Returns the policy as the type that the scheduler uses."""
    return policy.PolicySettings(**msgspec.structs.asdict(model))


def make_shape(model: ShapeModel) -> resources.Shape:
    """Converts a shape to the domain model."""
    return resources.Shape(model.members, model.accelerators, model.adjacency)


def make_urgency(name: UrgencyName) -> requests.Urgency:
    """Converts an urgency to the domain model."""
    return requests.Urgency[name.name]
