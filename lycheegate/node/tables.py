"""Tables of the daemon in the platform's store.

A part carries out its transactions one after another. Progress and the scheduler's term share a
part, so that both are changed in one transaction. Accepted jobs are spread over others: while the
store is slow, submissions then neither wait for each other nor delay the term's renewal.
"""

import dataclasses
import uuid
import zlib

import cbor2

from lycheegate.node import storage
from lycheegate.utils import exceptions

__all__ = [
    "BEAT",
    "JOBS",
    "MEMBERS",
    "OWNER",
    "PART",
    "PROGRESS",
    "TERMS",
    "Beat",
    "Owner",
    "decode_beat",
    "decode_owner",
    "encode_beat",
    "encode_owner",
    "get_cancel_key",
    "get_job_key",
    "get_progress_key",
    "list_job_parts",
    "make_claim_id",
    "split_job_key",
]

PART = "jobs"
"""Part of all rows but those of accepted jobs."""
JOB_PARTS = 16
JOBS = "jobs"
PROGRESS = "progress"
TERMS = "terms"
MEMBERS = "members"
"""Where VMs relay store calls for each other, by name of the VM."""
OWNER = storage.RowKey(TERMS, PART, "owner")
"""Who holds the term; changes only when the term does, and is the condition of its writes."""
BEAT = storage.RowKey(TERMS, PART, "beat")
"""Heartbeat of the term's holder."""
_CANCEL_SUFFIX = "/cancel"


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Holder of a scheduler term.

    Attributes:
        epoch: Number of the term.
        claim_id: Unique name of the claim, which tells a process from an earlier one.
    """

    epoch: int
    claim_id: str

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.claim_id.rpartition("/")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """Heartbeat of the holder.

    Attributes:
        epoch: Its term.
        is_released: Whether it has given up the term.
        pending: Jobs that have not begun, by queue.
        sent_at_ms: When it was sent, on the store's clock, or 0 if that was not known.
    """

    epoch: int
    is_released: bool
    pending: dict[str, int]
    sent_at_ms: int = 0


def make_claim_id(vm: str) -> str:
    """Returns a new name for a claim of a VM."""
    return f"{vm}/{uuid.uuid4().hex[:12]}"


def get_job_key(job_id: str) -> storage.RowKey:
    """Returns the row of an accepted job."""
    return storage.RowKey(JOBS, _get_job_part(job_id), job_id)


def list_job_parts() -> list[tuple[str, str]]:
    """Returns the table of jobs with each of its parts."""
    return [(JOBS, f"{PART}-{number}") for number in range(JOB_PARTS)]


def _get_job_part(job_id: str) -> str:
    # Callers choose the identifiers, so their first digits may all be the same.
    return f"{PART}-{zlib.crc32(job_id.encode()) % JOB_PARTS}"


def get_cancel_key(job_id: str) -> storage.RowKey:
    """Returns the row that marks a job as cancelled."""
    return storage.RowKey(JOBS, _get_job_part(job_id), job_id + _CANCEL_SUFFIX)


def get_progress_key(job_id: str) -> storage.RowKey:
    """Returns the row of a job's progress."""
    return storage.RowKey(PROGRESS, PART, job_id)


def split_job_key(key: str) -> tuple[str, bool]:
    """Returns the job of a row of the table of jobs, and whether the row cancels it."""
    if key.endswith(_CANCEL_SUFFIX):
        return key.removesuffix(_CANCEL_SUFFIX), True
    return key, False


def encode_owner(owner: Owner) -> bytes:
    """Returns the content of the owner's row."""
    return cbor2.dumps([owner.epoch, owner.claim_id])


def decode_owner(data: bytes) -> Owner:
    """Returns the owner of a row.

    Raises:
        ProtocolError: The row cannot be read.
    """
    return Owner(*_load(data, 2))


def encode_beat(beat: Beat) -> bytes:
    """Returns the content of the heartbeat's row."""
    return cbor2.dumps([beat.epoch, beat.is_released, beat.pending, beat.sent_at_ms])


def decode_beat(data: bytes) -> Beat:
    """Returns the heartbeat of a row.

    Raises:
        ProtocolError: The row cannot be read.
    """
    return Beat(*_load(data, 4))


def _load(data: bytes, length: int) -> list:
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise exceptions.ProtocolError(f"row cannot be read: {error}") from error
    if not isinstance(items, list) or len(items) != length:
        raise exceptions.ProtocolError("row has another format")
    return items
