"""Evacuations of data centres beside faults of the holder, the store and the workers."""

import pytest

from lycheegate.jobs import state
from lycheegate.node import storage
from lycheegate.node.tests import simulation
from lycheegate.platform import configuration

_JOB_ID = "0" * 16
_LIMIT_S = 3.5


def _make_world(**fields) -> simulation.World:
    """Returns a world with two workers in each of two data centres."""
    world = simulation.World(1, worker_count=4, **fields)
    world.policy = state.Policy(max_operator_view_age_s=_LIMIT_S)
    for number, worker_id in enumerate(sorted(world.fleet.workers)):
        world.data_centres[worker_id] = "a" if number < 2 else "b"
        world.register(worker_id)
    return world


def _submit(world: simulation.World, count: int = 4) -> None:
    world.submit(simulation.make_job(_JOB_ID, simulation.make_step(count, simulation.WHOLE)))


def _count_live(world: simulation.World) -> dict[str, int]:
    counts = {"a": 0, "b": 0}
    for worker_id, worker in world.fleet.workers.items():
        counts[world.data_centres[worker_id]] += worker.count_live()
    return counts


def _evacuate(world: simulation.World, vm: str, *names: str) -> None:
    world.evacuated = frozenset(names)
    world.schedulers[vm].set_evacuations(state.Evacuations(world.evacuated, world.loop.now_s))


def test_next_holder_starts_nothing_in_an_evacuated_data_centre():
    """Guards against a holder that is lost right after the confirmation, with what it knew."""
    world = _make_world()
    world.claim_term("a")
    world.run(1.0)
    _evacuate(world, "a", "b")
    world.schedulers["a"].stop("killed")
    _submit(world)
    world.claim_term("b")
    world.run(2.0)
    assert _count_live(world) == {"a": 2, "b": 0}


@pytest.mark.parametrize("transaction_s", [0.0, 0.6], ids=["fast", "slow"])
def test_intention_that_is_being_written_is_not_ordered(transaction_s):
    """Guards against an order that follows a slow write although the evacuation came meanwhile."""
    world = _make_world()
    world.claim_term("a")
    world.run(2.0)
    world.faults.transaction_s = transaction_s
    _submit(world)
    world.run(transaction_s / 2)
    _evacuate(world, "a", "b")
    world.run(transaction_s * 4 + 0.5)
    assert _count_live(world) == {"a": 2, "b": 0}
    assert world.fleet.violations == []


@pytest.mark.parametrize("is_started", [True, False])
def test_order_without_an_answer_is_not_repeated(is_started):
    """Guards against a repetition that starts a task long after the evacuation."""
    world = _make_world()
    world.fleet.work_s = 30.0
    world.claim_term("a")
    world.run(1.0)
    lost = {"w2", "w3"}
    if is_started:
        world.fleet.answers_lost |= lost
    else:
        world.fleet.unreachable |= lost
    _submit(world)
    world.run(0.2)
    _evacuate(world, "a", "b")
    world.run(0.2)
    world.fleet.answers_lost -= lost
    world.fleet.unreachable -= lost
    world.run(1.0)
    assert _count_live(world) == {"a": 2, "b": 2 if is_started else 0}
    assert world.fleet.violations == []


def test_holder_without_confirmations_starts_nothing_until_the_next():
    """Guards against a VM that was suspended, or cut off, across a request to evacuate."""
    world = _make_world()
    world.fleet.work_s = 30.0
    world.claim_term("a")
    world.run(_LIMIT_S + 0.5)
    _submit(world)
    world.run(1.0)
    assert _count_live(world) == {"a": 0, "b": 0}
    _evacuate(world, "a", "b")
    world.run(1.0)
    assert _count_live(world) == {"a": 2, "b": 0}
    _evacuate(world, "a")
    world.run(1.0)
    assert _count_live(world) == {"a": 2, "b": 2}


def _make_row(key: str, deleted: bool = False, value: bytes = b"{}") -> storage.Row:
    return storage.Row(storage.RowKey(configuration.TABLE, "", key), value, 1, deleted)


@pytest.mark.parametrize(
    ("before", "rows", "expected"),
    [
        ("", [_make_row("evacuate/a")], "a"),
        ("a", [_make_row("evacuate/b", value=b"\xff not JSON")], "ab"),
        ("ab", [_make_row("evacuate/a", deleted=True)], "b"),
        ("", [_make_row("evacuate/a"), _make_row("evacuate/a", deleted=True)], ""),
        ("a", [_make_row(configuration.KEY), _make_row("wave/1")], "a"),
        ("", [_make_row("evacuate/b", deleted=True)], ""),
    ],
    ids=["one", "unreadable value", "taken back", "taken back at once", "others", "never known"],
)
def test_rows_of_the_operators(before, rows, expected):
    """Guards against an evacuation that is missed, or that outlasts its row."""
    found = configuration.apply_evacuation_rows(frozenset(before), rows)
    assert found == frozenset(expected)
