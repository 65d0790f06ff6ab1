"""Row with which a holder tells the next one what it has learned about durations."""

import math

import cbor2
import pytest

from lycheegate.jobs.durations import encoding, factors
from lycheegate.metrics import log_records
from lycheegate.node import storage, tables
from lycheegate.node.tests import simulation
from lycheegate.utils import exceptions

_RATIOS = {"w0": 0.6, "w1": 1.6}


def _make_world(is_even: bool = False) -> simulation.World:
    world = simulation.World(1, worker_count=9)
    world.fleet.work_s = 2.0
    world.fleet.work_ratios = {} if is_even else dict(_RATIOS)
    return world


def _run_work(world: simulation.World, first: int, count: int = 6) -> None:
    """Runs jobs of 54 tasks, which fill all workers, one after another."""
    for number in range(first, first + count):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(54)))
        world.run(4.5)


def _get_ratio(world: simulation.World, vm: str, worker_id: str) -> float:
    current = world.schedulers[vm]._state
    return factors.get_worker_estimate(current.durations, worker_id, world.loop.now_s).ratio


def _find_events(world: simulation.World, event: str) -> list[dict]:
    records = (log_records.parse_record(line.decode()) for line in world.lines)
    return [record for record in records if record is not None and record["event"] == event]


def _assert_known(world: simulation.World, vm: str) -> None:
    assert _get_ratio(world, vm, "w0") < 0.75
    assert _get_ratio(world, vm, "w1") > 1.35
    assert _get_ratio(world, vm, "w5") == pytest.approx(1.0, abs=0.1)


@pytest.mark.parametrize("fault", ["none", "lost_writes", "store_away"])
def test_next_holder_knows_the_speeds(fault):
    """Guards against a model that is learned anew with each change of holders."""
    world = _make_world()
    first = world.claim_term("a")
    _run_work(world, 0, 4)
    if fault == "lost_writes":
        world.faults.lost_writes = 0.5
    if fault == "store_away":
        world.submit(simulation.make_job("e" * 16, simulation.make_step(54)))
        world.run(0.5)
        runs = sum(effect.runs for effect in first._state.durations.workers.values())
        world.faults.refused_vms = {"a"}
        world.run(3.0)
        # What is learned meanwhile stays in memory, and is written afterwards.
        assert sum(e.runs for e in first._state.durations.workers.values()) > runs
        world.faults.refused_vms = set()
    _run_work(world, 4)
    world.faults.lost_writes = 0.0
    world.run(6.0)
    _assert_known(world, "a")
    first.stop("killed")
    world.claim_term("b")
    world.run(0.1)
    _assert_known(world, "b")
    assert world.fleet.violations == []


def test_even_fleet_is_not_written():
    """Guards against a row of all workers that goes to all VMs although it says nothing."""
    world = _make_world(is_even=True)
    world.claim_term("a")
    world.submit(simulation.make_job("f" * 16, simulation.make_step(54)))
    world.run(12.0)
    model = world.schedulers["a"]._state.durations
    assert sum(effect.runs for effect in model.workers.values()) > 30
    row = world.store.rows.get(tables.DURATIONS)
    decoded = encoding.decode_model(row.value, 0.0, 0) if row is not None else None
    assert decoded is None or decoded.queues


def test_row_is_written_at_most_each_5_s():
    """Guards against rows that take up the links while the fleet is being learned."""
    world = _make_world()
    world.claim_term("a")
    versions = set()
    for number in range(8):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(54)))
        for _ in range(9):
            world.run(0.5)
            row = world.store.rows.get(tables.DURATIONS)
            versions |= {row.version} if row is not None else set()
    assert 1 <= len(versions) <= 36.0 / 5.0


@pytest.mark.parametrize("born_ms", [1_000, 5_000])
def test_worker_that_returned_under_the_next_holder_starts_anew(born_ms):
    """Guards against a replaced machine that is avoided because of its predecessor."""
    world = _make_world()
    first = world.claim_term("a")
    _run_work(world, 0, 8)
    first.stop("killed")
    world.fleet.workers["w1"].born_ms = born_ms
    world.register("w1")
    world.claim_term("b")
    world.run(0.5)
    assert (_get_ratio(world, "b", "w1") > 1.2) is (born_ms == 1_000)
    assert _get_ratio(world, "b", "w0") < 0.75


def _encode(*items) -> bytes:
    return cbor2.dumps(list(items))


_WORKER = ["w0", 5, -5_000, 100, 9]
_ODD_ROWS = {
    "not CBOR": b"\xff",
    "nested": b"\x81" * 40_000,
    "too large": _encode(1, 5, [_WORKER] * 5_000, []),
    "map": cbor2.dumps({"a": 1}),
    "no items": _encode(),
    "older layout": _encode(0, 5, [], []),
    "newer layout": _encode(2, 5, [], []),
    "layout true": _encode(True, 5, [], []),
    "few items": _encode(1, 5, []),
    "time negative": _encode(1, -5, [], []),
    "time of 400 digits": _encode(1, 10**400, [], []),
    "time infinite": _encode(1, math.inf, [], []),
    "workers as map": _encode(1, 5, {}, []),
    "queues as text": _encode(1, 5, [], "q"),
    "worker as number": _encode(1, 5, [1], []),
    "worker with few items": _encode(1, 5, [_WORKER[:4]], []),
    "worker with a long name": _encode(1, 5, [["w" * 1_000, *_WORKER[1:]]], []),
    "mean NaN": _encode(1, 5, [["w", 5, math.nan, 100, 9]], []),
    "mean infinite": _encode(1, 5, [["w", 5, -math.inf, 100, 9]], []),
    "mean large": _encode(1, 5, [["w", 5, 80_000, 100, 9]], []),
    "mean of 400 digits": _encode(1, 5, [["w", 5, -(10**400), 100, 9]], []),
    "mean true": _encode(1, 5, [["w", 5, True, 100, 9]], []),
    "variance zero": _encode(1, 5, [["w", 5, 0, 0, 9]], []),
    "variance NaN": _encode(1, 5, [["w", 5, 0, math.nan, 9]], []),
    "variance negative": _encode(1, 5, [["w", 5, 0, -1, 9]], []),
    "runs negative": _encode(1, 5, [["w", 5, 0, 100, -1]], []),
    "incarnation as text": _encode(1, 5, [["w", "5", 0, 100, 9]], []),
    "queue without account": _encode(1, 5, [], [["q", 0, 100, 9]]),
    "queue NaN": _encode(1, 5, [], [["q", "a", math.nan, 100, 9]]),
}


@pytest.mark.parametrize("data", _ODD_ROWS.values(), ids=_ODD_ROWS)
def test_odd_row_is_not_decoded(data):
    """Guards against speeds of another writer, or ones that raise in each later prediction."""
    with pytest.raises(exceptions.ProtocolError):
        encoding.decode_model(data, 1.0, 10)


@pytest.mark.parametrize("name", ["not CBOR", "newer layout", "too large", "mean NaN"])
def test_holder_with_an_unreadable_row_starts_empty(name):
    """Guards against a term in which nothing runs because of a row of another build.

    The row is replaced by the first one of the new holder.
    """
    world = _make_world()
    world.store.put(tables.DURATIONS, _ODD_ROWS[name])
    world.claim_term("a")
    world.run(1.0)
    assert world.schedulers["a"]._state.durations.workers == {}
    _run_work(world, 0, 8)
    (event,) = _find_events(world, "durations_unreadable")
    assert event["bytes"] == len(_ODD_ROWS[name]) and event["error"]
    assert "w0" in encoding.decode_model(world.store.rows[tables.DURATIONS].value, 0.0, 0).workers
    simulation.assert_all_succeed(world)


def test_deleted_row_leaves_the_model_empty():
    """Guards against a claim that fails once operators have deleted the row."""
    world = _make_world()
    world.store.put(tables.DURATIONS, _ODD_ROWS["not CBOR"])
    world.store.apply(storage.Transaction(deletes=(tables.DURATIONS,)))
    world.claim_term("a")
    _run_work(world, 0, 1)
    assert _find_events(world, "durations_unreadable") == []
    simulation.assert_all_succeed(world)


def test_age_of_the_row_makes_its_workers_less_certain():
    """Guards against old speeds that outweigh several new runs."""
    model = factors.DurationModel()
    for number in range(9):
        mean = 0.5 * (number % 3 - 1)
        model.workers[f"w{number}"] = factors.WorkerEffect(5, mean, 0.002, 40, 100.0)
    model.queues["q"] = {"a": factors.Effect(0.3, 0.01, 9)}
    data = encoding.encode_model(model, 100.0, 1_000_000)
    now_s = 7.0
    fresh = encoding.decode_model(data, now_s, 1_000_000)
    old = encoding.decode_model(data, now_s, 1_000_000 + 3_600_000)
    assert fresh.queues == model.queues
    for worker_id, effect in model.workers.items():
        assert fresh.workers[worker_id].mean == pytest.approx(effect.mean, abs=0.001)
        assert fresh.workers[worker_id].compute_variance(now_s) == pytest.approx(0.002)
        assert old.workers[worker_id].compute_variance(now_s) == pytest.approx(0.074)


@pytest.mark.parametrize(("name_bytes", "accounts"), [(12, 42), (200, 4_000)])
def test_size_of_the_row_is_limited(name_bytes, accounts):
    """Guards against a heartbeat that the store rejects, which would end the term."""
    model = factors.DurationModel(worker_variance=0.1)
    for number in range(3_000):
        name = f"{number:05}".ljust(name_bytes, "w")
        mean = (number - 1_500) / 3_000.0
        model.workers[name] = factors.WorkerEffect(1_790_000_000_000, mean, 0.002, 40, 100.0)
    model.queues["q"] = {
        f"{number:05}".ljust(name_bytes, "a"): factors.Effect(0.1, 0.01, number)
        for number in range(accounts)
    }
    data = encoding.encode_model(model, 100.0, 1_000_000)
    assert len(data) <= encoding.MAX_BYTES
    kept = encoding.decode_model(data, 100.0, 1_000_000)
    assert 100 < len(kept.workers) < 3_000
    least = min(abs(model.workers[worker_id].mean) for worker_id in kept.workers)
    omitted = model.workers.keys() - kept.workers.keys()
    assert max(abs(model.workers[worker_id].mean) for worker_id in omitted) <= least + 1e-9


def test_model_is_summarised_in_the_log():
    """Guards against learned speeds that operators cannot see, and log lines for each report."""
    world = _make_world()
    world.claim_term("a")
    _run_work(world, 0, 8)
    events = _find_events(world, "durations_learned")
    assert 3 <= len(events) <= world.loop.now_s / 5.0
    fields = events[-1]
    assert fields["workers"] >= 7 and fields["spread"] > 1.2
    assert list(fields["slowest"])[0] == "w1" and list(fields["fastest"])[0] == "w0"
    assert fields["queues"]["batch"] > 1.5


def test_errors_of_predictions_are_recorded():
    """Guards against predictions whose error nobody sees, or that are compared with themselves."""
    world = _make_world()
    world.claim_term("a")
    _run_work(world, 0, 8)
    ended = [event for event in _find_events(world, "run_ended") if "learned_error" in event]
    assert len(ended) > 200
    late = ended[-100:]
    # Tasks of 2 s are declared to take 1 s.
    assert sum(abs(math.log(event["learned_error"])) for event in late) < 0.2 * len(late)
    assert sum(abs(math.log(event["declared_error"])) for event in late) > 0.5 * len(late)
