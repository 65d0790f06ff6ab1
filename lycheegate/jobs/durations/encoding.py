"""Durable form of what was learned about durations, for the holder of the next term.

A record is a list in CBOR whose first item is the number of its layout. Logarithms and variances
are whole numbers, which are shorter than floats and have no special values.

Handles fleets of more workers than fit into a row: those furthest from typical are kept, since an
unknown worker counts as typical anyway.
"""

import dataclasses
import math
from collections.abc import Iterable

import cbor2

from lycheegate.jobs.durations import factors
from lycheegate.utils import exceptions, numbers

__all__ = ["MAX_BYTES", "Snapshot", "decode_model", "encode_model", "has_changed", "make_snapshot"]

LAYOUT = 1
MAX_BYTES = 49_152
"""Maximum size of a record; with it, the row fits into the store in Base64."""
MAX_QUEUES_BYTES = 16_384
"""Part of a record that the effects of queues may take up."""
HEADER_BYTES = 64
"""Upper limit of the size of a record without its entries."""
UNITS = 10_000
"""Number of units of a logarithm or a variance in 1."""
MAX_MEAN = factors.MAX_LOG
MAX_VARIANCE = 50.0
MAX_NAME = 512
"""Maximum length of the name of a worker, queue or account."""
MAX_AGE_S = 86_400.0
"""Age of a record beyond which it is no older: the effects of its workers are unknown anyway."""
CHANGED_WORKER_LOG = 0.05
"""Difference of the logarithms of a worker's estimates from which a record is written again, about
a twentieth."""
CHANGED_ACCOUNT_LOG = 0.2
"""The same for the declared durations of an account, which differ by more from job to job."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Logarithms of the estimates of a model.

    Attributes:
        workers: Those of the workers, by identifier and incarnation.
        accounts: Those of new steps, by queue and client account.
    """

    workers: dict[tuple[str, int], float]
    accounts: dict[tuple[str, str], float]


def encode_model(
    model: factors.DurationModel, now_s: float, clock_ms: int, max_bytes: int = MAX_BYTES
) -> bytes:
    """Returns the record of a model.

    Args:
        model: The model.
        now_s: Time on the scheduler's clock.
        clock_ms: The store's clock, for the age of the record.
        max_bytes: Maximum size of the record.
    """
    queues = [
        [queue, account, *_encode_effect(effect.mean, effect.variance, effect.runs)]
        for queue, accounts in model.queues.items()
        for account, effect in accounts.items()
    ]
    queues.sort(key=lambda entry: (-entry[4], entry[0], entry[1]))
    room_bytes = min(max_bytes, MAX_BYTES) - HEADER_BYTES
    kept_queues = _take_fitting(queues, min(room_bytes // 3, MAX_QUEUES_BYTES))
    room_bytes -= sum(len(cbor2.dumps(entry)) for entry in kept_queues)
    distances = {
        worker_id: abs(factors.get_worker_effect(model, worker_id, now_s)[0])
        for worker_id in model.workers
    }
    workers = [
        [worker_id, effect.born_ms]
        + _encode_effect(effect.mean, effect.compute_variance(now_s), effect.runs)
        for worker_id, effect in model.workers.items()
    ]
    workers.sort(key=lambda entry: (-distances[entry[0]], entry[0]))
    return cbor2.dumps([LAYOUT, clock_ms, _take_fitting(workers, room_bytes), kept_queues])


def _encode_effect(mean: float, variance: float, runs: int) -> list[int]:
    mean = max(-MAX_MEAN, min(MAX_MEAN, mean))
    variance = max(1.0 / UNITS, min(MAX_VARIANCE, variance))
    return [round(mean * UNITS), round(variance * UNITS), min(runs, numbers.MAX_WHOLE)]


def _take_fitting(entries: Iterable[list], max_bytes: int) -> list[list]:
    """Returns as many of the first entries as fit into a size."""
    result: list[list] = []
    for entry in entries:
        max_bytes -= len(cbor2.dumps(entry))
        if max_bytes < 0:
            break
        result.append(entry)
    return result


def decode_model(data: bytes, now_s: float, clock_ms: int) -> factors.DurationModel:
    """Returns the model of a record, whose variances are increased according to its age.

    Args:
        data: The record.
        now_s: Time on the scheduler's clock.
        clock_ms: The store's clock, or 0 if unknown.

    Raises:
        ProtocolError: The record has another layout or cannot be decoded.
    """
    written_ms, workers, queues = _decode_items(data)
    age_s = max(0.0, min(MAX_AGE_S, (clock_ms - written_ms) / 1000.0)) if clock_ms else 0.0
    model = factors.DurationModel()
    for entry in workers:
        worker_id, born_ms, *effect = _check_entry(entry, (str, int, None, int, int))
        mean, variance, runs = _decode_effect(effect)
        model.workers[worker_id] = factors.WorkerEffect(
            born_ms, mean, variance, runs, now_s - age_s
        )
    for entry in queues:
        queue, account, *effect = _check_entry(entry, (str, str, None, int, int))
        model.queues.setdefault(queue, {})[account] = factors.Effect(*_decode_effect(effect))
    factors.refresh(model, now_s)
    return model


def _decode_items(data: bytes) -> tuple[int, list, list]:
    """Returns the time, workers and queues of a record."""
    if len(data) > MAX_BYTES:
        raise exceptions.ProtocolError(
            f"expected durations of at most {MAX_BYTES} bytes, got {len(data)}"
        )
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise exceptions.ProtocolError(
            f"cannot decode durations of {len(data)} bytes: {error}"
        ) from error
    if not isinstance(items, list) or not items or items[0] != LAYOUT or items[0] is True:
        raise exceptions.ProtocolError(f"expected durations of layout {LAYOUT}, got {items!r:.100}")
    is_valid = len(items) == 4 and numbers.is_whole(items[1])
    if not is_valid or not isinstance(items[2], list) or not isinstance(items[3], list):
        raise exceptions.ProtocolError(
            f"expected layout, time, workers and queues, got {items!r:.100}"
        )
    return items[1], items[2], items[3]


def _check_entry(entry: object, types: tuple[type | None, ...]) -> list:
    """Returns an entry whose items have the given types; None stands for a number of any sign."""
    is_valid = isinstance(entry, list) and len(entry) == len(types)
    if not is_valid or not all(map(_is_valid, entry, types)):
        raise exceptions.ProtocolError(f"expected an effect on durations, got {entry!r:.100}")
    return entry


def _is_valid(item: object, type_: type | None) -> bool:
    if type_ is str:
        return isinstance(item, str) and len(item) <= MAX_NAME
    return numbers.is_whole(item, least=-numbers.MAX_WHOLE if type_ is None else 0)


def _decode_effect(items: list[int]) -> tuple[float, float, int]:
    """Returns the mean, variance and number of runs of an effect."""
    mean, variance, runs = items[0] / UNITS, items[1] / UNITS, items[2]
    if abs(mean) > MAX_MEAN or not 0.0 < variance <= MAX_VARIANCE:
        raise exceptions.ProtocolError(
            f"expected a logarithm of at most {MAX_MEAN} and a variance of at most {MAX_VARIANCE}, "
            f"got {mean} and {variance}"
        )
    return mean, variance, runs


def make_snapshot(model: factors.DurationModel, now_s: float) -> Snapshot:
    """Returns the estimates of a model, to tell later whether they have changed."""
    workers = {
        (worker_id, effect.born_ms): factors.get_worker_effect(model, worker_id, now_s)[0]
        for worker_id, effect in model.workers.items()
    }
    accounts = {
        (queue, account): factors.make_step_effect(model, queue, account).mean
        for queue, queue_accounts in model.queues.items()
        for account in queue_accounts
    }
    return Snapshot(workers, accounts)


def has_changed(before: Snapshot, after: Snapshot) -> bool:
    """Returns whether an estimate has changed; unknown ones counted as typical."""
    return _differs(before.workers, after.workers, CHANGED_WORKER_LOG) or _differs(
        before.accounts, after.accounts, CHANGED_ACCOUNT_LOG
    )


def _differs(before: dict, after: dict, limit: float) -> bool:
    return any(math.fabs(mean - before.get(name, 0.0)) > limit for name, mean in after.items())
