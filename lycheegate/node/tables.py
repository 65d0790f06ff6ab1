"""Tables of the daemon in the platform's store.

The store executes the transactions of a part one after another. Progress and the scheduler's term
share a part, so that one transaction can change both. Accepted jobs are spread over other parts, so
that while the store is slow, submissions neither wait for each other nor delay the renewal of the
term.
"""

import dataclasses
import uuid
import zlib

import cbor2

from lycheegate.node import storage
from lycheegate.utils import exceptions, numbers

__all__ = [
    "DEPARTURES",
    "DURATIONS",
    "HEARTBEAT",
    "MAX_COUNT_ROWS",
    "HOLDER",
    "JOBS",
    "LEASES",
    "LOAD",
    "MEMBERS",
    "PAGES",
    "PART",
    "PROGRESS",
    "REFUSALS",
    "SUSPECTS",
    "TERMS",
    "Departure",
    "Heartbeat",
    "Holder",
    "LeaseEnds",
    "PendingCounts",
    "RefusalMark",
    "decode_counts",
    "decode_departures",
    "decode_heartbeat",
    "decode_holder",
    "decode_items",
    "decode_lease_ends",
    "decode_refusal_mark",
    "decode_suspects",
    "encode_counts",
    "encode_departures",
    "encode_heartbeat",
    "encode_holder",
    "encode_lease_ends",
    "encode_refusal_mark",
    "encode_suspects",
    "get_cancel_key",
    "get_counts_key",
    "get_job_key",
    "get_page_key",
    "get_progress_key",
    "get_refusal_key",
    "is_counts_key",
    "list_job_parts",
    "list_refusal_parts",
    "make_claim_id",
    "split_job_key",
    "split_page_key",
]

PART = "jobs"
"""Part of all rows except those of accepted jobs and their cancellations."""
JOB_PARTS = 16
JOBS = "jobs"
PROGRESS = "progress"
PAGES = "progress-pages"
"""Table of the pages of progress records that do not fit into one row."""
TERMS = "terms"
MEMBERS = "members"
"""Table of the peer addresses of VMs, by name of the VM."""
HOLDER = storage.RowKey(TERMS, PART, "owner")
"""Row of the term's holder. It changes only with the term, so its version is a condition of the
holder's writes to this part."""
HEARTBEAT = storage.RowKey(TERMS, PART, "beat")
"""Row of the holder's heartbeat."""
SUSPECTS = storage.RowKey(TERMS, PART, "suspects")
"""Row of the workers that the holder suspects, for the holder of the next term."""
LEASES = storage.RowKey(TERMS, PART, "leases")
"""Row that tells the holder of the next term when leases of runs end. It belongs to the heartbeat
that was written with it and counts no longer once there is a later one."""
DEPARTURES = storage.RowKey(TERMS, PART, "departures")
"""Row that tells the holder of the next term when workers with runs leave. A registration tells
only how long its worker stayed when it was written."""
DURATIONS = storage.RowKey(TERMS, PART, "durations")
"""Row of what the holder has learned about durations, for the holder of the next term
(``lycheegate.jobs.durations.encoding``)."""
LOAD = storage.RowKey(TERMS, PART, "load")
"""Row of the load of the services, by which VMs refuse jobs (`load_row`)."""
REFUSALS = "refusals"
"""Table of the marks of refused submissions. It has the parts of the table of jobs, so that one
transaction can change both."""
_REFUSAL_LAYOUT = 1
MAX_COUNT_ROWS = 6
"""Number of further rows of counts of waiting jobs. They fit into one call with a batch of
progress."""
_COUNTS_PREFIX = "counts-"
_CANCEL_SUFFIX = "/cancel"


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Holder of a scheduler term.

    Attributes:
        epoch: Number of the term.
        claim_id: Unique identifier of the claim, which distinguishes processes on the same VM.
    """

    epoch: int
    claim_id: str

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.claim_id.rpartition("/")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of the term's holder.

    Attributes:
        epoch: Number of the term.
        is_released: Whether the holder has released the term.
        pending: Number of jobs that have not started, by queue; those of further queues are in
            other rows if there are many.
        sent_at_ms: When it was sent, on the store's clock, or 0 if that clock was unknown.
    """

    epoch: int
    is_released: bool
    pending: dict[str, int]
    sent_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEnds:
    """Times by which leases have certainly expired, in milliseconds on the store's clock.

    Attributes:
        epoch: Number of the term.
        sent_at_ms: Time of the heartbeat that the row belongs to.
        workers: Time for each worker to which no lease is granted any more.
        others_ms: Time for all other workers, or 0 if leases may still be granted to them.
    """

    epoch: int
    sent_at_ms: int
    workers: dict[str, int]
    others_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An announced departure of a worker; times in milliseconds.

    Attributes:
        leaves_at_ms: Earliest time at which it leaves, on the store's clock.
        remaining_ms: Time until then according to the registration that announced it.
        born_ms: Start of its incarnation since 1970, or 0 if not reported.
    """

    leaves_at_ms: int
    remaining_ms: int
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCounts:
    """Further counts of waiting jobs, which do not fit into the heartbeat.

    Attributes:
        epoch: Number of the term.
        pending: Number of jobs that have not started, by queue.
    """

    epoch: int
    pending: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalMark:
    """Mark of a refused submission, which keeps earlier calls for the job from storing it.

    Attributes:
        not_before_ms: Time on the store's clock from which a call for the job may remove the mark.
        call_id: Identifier of the refused call.
    """

    not_before_ms: int
    call_id: str


def make_claim_id(vm: str) -> str:
    """Returns a new identifier for a claim by a VM."""
    return f"{vm}/{uuid.uuid4().hex[:12]}"


def get_job_key(job_id: str) -> storage.RowKey:
    """Returns the address of the row of an accepted job."""
    return storage.RowKey(JOBS, _get_job_part(job_id), job_id)


def list_job_parts() -> list[tuple[str, str]]:
    """Returns the table of jobs paired with each of its parts."""
    return [(JOBS, f"{PART}-{number}") for number in range(JOB_PARTS)]


def _get_job_part(job_id: str) -> str:
    # Callers choose the identifiers, so these may share a prefix.
    return f"{PART}-{zlib.crc32(job_id.encode()) % JOB_PARTS}"


def get_cancel_key(job_id: str) -> storage.RowKey:
    """Returns the address of the row that marks a job as cancelled."""
    return storage.RowKey(JOBS, _get_job_part(job_id), job_id + _CANCEL_SUFFIX)


def get_refusal_key(job_id: str) -> storage.RowKey:
    """Returns the address of the row that marks a submission of a job as refused."""
    return storage.RowKey(REFUSALS, _get_job_part(job_id), job_id)


def list_refusal_parts() -> list[str]:
    """Returns the parts of the table of refusals."""
    return [part for _, part in list_job_parts()]


def get_progress_key(job_id: str) -> storage.RowKey:
    """Returns the address of the row of a job's progress."""
    return storage.RowKey(PROGRESS, PART, job_id)


def get_page_key(job_id: str, number: int) -> storage.RowKey:
    """Returns the address of a page of a job's progress, by its number from 0."""
    return storage.RowKey(PAGES, PART, f"{job_id}/{number:03}")


def split_page_key(key: str) -> str:
    """Returns the job that a key of the table of pages names."""
    return key.partition("/")[0]


def split_job_key(key: str) -> tuple[str, bool]:
    """Returns the job that a key of the table of jobs names, and whether the row cancels it."""
    if key.endswith(_CANCEL_SUFFIX):
        return key.removesuffix(_CANCEL_SUFFIX), True
    return key, False


def get_counts_key(number: int) -> storage.RowKey:
    """Returns the address of a row of further counts of waiting jobs, by its number from 0."""
    return storage.RowKey(TERMS, PART, f"{_COUNTS_PREFIX}{number}")


def is_counts_key(key: storage.RowKey) -> bool:
    """Returns whether a row of the table of terms holds further counts of waiting jobs."""
    return key.table == TERMS and key.key.startswith(_COUNTS_PREFIX)


def encode_holder(holder: Holder) -> bytes:
    """Returns the content of the holder's row."""
    return cbor2.dumps([holder.epoch, holder.claim_id])


def decode_holder(data: bytes) -> Holder:
    """Returns the holder that a row describes.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    epoch, claim_id = decode_items(data, (int, str))
    return Holder(epoch, claim_id)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns the content of the heartbeat's row."""
    return cbor2.dumps(
        [heartbeat.epoch, heartbeat.is_released, heartbeat.pending, heartbeat.sent_at_ms]
    )


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Returns the heartbeat that a row describes.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    heartbeat = Heartbeat(*decode_items(data, (int, bool, dict, int)))
    _check_numbers(heartbeat.pending, "queue and number of jobs")
    return heartbeat


def encode_counts(counts: PendingCounts) -> bytes:
    """Returns the content of a row of further counts of waiting jobs."""
    return cbor2.dumps([counts.epoch, counts.pending])


def decode_counts(data: bytes) -> PendingCounts:
    """Returns the further counts of waiting jobs that a row holds.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    counts = PendingCounts(*decode_items(data, (int, dict)))
    _check_numbers(counts.pending, "queue and number of jobs")
    return counts


def encode_suspects(suspects: dict[str, int]) -> bytes:
    """Returns the content of the row of suspected workers.

    Args:
        suspects: Until when each worker is suspected, in milliseconds on the store's clock.
    """
    return cbor2.dumps([suspects])


def decode_suspects(data: bytes) -> dict[str, int]:
    """Returns until when each worker is suspected, in milliseconds on the store's clock.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    (suspects,) = decode_items(data, (dict,))
    _check_numbers(suspects, "worker and time of a suspicion")
    return suspects


def encode_departures(departures: dict[str, Departure]) -> bytes:
    """Returns the content of the row of announced departures, by worker."""
    return cbor2.dumps([{w: list(dataclasses.astuple(d)) for w, d in departures.items()}])


def decode_departures(data: bytes) -> dict[str, Departure]:
    """Returns the announced departures that a row holds, by worker.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    (entries,) = decode_items(data, (dict,))
    result: dict[str, Departure] = {}
    for worker_id, items in entries.items():
        is_valid = isinstance(worker_id, str) and isinstance(items, list) and len(items) == 3
        if not is_valid or not all(map(numbers.is_whole, items)):
            raise exceptions.ProtocolError(f"expected a departure, got {items!r:.100}")
        result[worker_id] = Departure(*items)
    return result


def encode_lease_ends(lease_ends: LeaseEnds) -> bytes:
    """Returns the content of the row of the ends of leases."""
    return cbor2.dumps(
        [lease_ends.epoch, lease_ends.sent_at_ms, lease_ends.workers, lease_ends.others_ms]
    )


def decode_lease_ends(data: bytes) -> LeaseEnds:
    """Returns the ends of leases that a row holds.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    lease_ends = LeaseEnds(*decode_items(data, (int, int, dict, int)))
    _check_numbers(lease_ends.workers, "worker and end of its leases")
    return lease_ends


def _check_numbers(entries: dict, expected: str) -> None:
    for name, number in entries.items():
        if not isinstance(name, str) or not numbers.is_whole(number):
            raise exceptions.ProtocolError(f"expected {expected}, got {(name, number)!r:.100}")


def _is_valid(item: object, type_: type) -> bool:
    return numbers.is_whole(item) if type_ is int else isinstance(item, type_)


def encode_refusal_mark(mark: RefusalMark) -> bytes:
    """Returns the content of the row of a refused submission."""
    return cbor2.dumps([_REFUSAL_LAYOUT, mark.not_before_ms, mark.call_id])


def decode_refusal_mark(data: bytes) -> RefusalMark:
    """Returns the mark that the row of a refused submission holds.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    layout, *fields = decode_items(data, (int, int, str))
    if layout != _REFUSAL_LAYOUT:
        raise exceptions.ProtocolError(f"expected layout {_REFUSAL_LAYOUT}, got {layout}")
    return RefusalMark(*fields)


def decode_items(data: bytes, types: tuple[type, ...]) -> list:
    """Returns the items of a row, which must have the given types; whole numbers are at least 0.

    Raises:
        ProtocolError: The row cannot be decoded.
    """
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise exceptions.ProtocolError(
            f"cannot decode row of {len(data)} bytes: {error}"
        ) from error
    expected = [type_.__name__ for type_ in types]
    is_valid = isinstance(items, list) and len(items) == len(types)
    if not is_valid or not all(map(_is_valid, items, types)):
        raise exceptions.ProtocolError(f"expected a row of {expected}, got {items!r:.100}")
    return items
