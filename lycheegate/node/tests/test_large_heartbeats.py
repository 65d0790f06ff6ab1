"""Heartbeats of terms with thousands of queues or of suspected workers."""

import dataclasses

import pytest

from lycheegate.jobs import health, model
from lycheegate.node import division, tables, terms
from lycheegate.node.tests import simulation
from lycheegate.utils import exceptions

ROUTES = 4_200
"""Number of queues of the largest configuration that was seen."""


def _observe(world: simulation.World, view: terms.TermView) -> None:
    rows = tuple(row for key, row in world.store.rows.items() if key.table == tables.TERMS)
    terms.apply_rows(view, rows, world.loop.now_s, int(world.loop.now_s * 1000))


def _observe_renewed_term(world: simulation.World) -> terms.TermView:
    """Returns a view of the term, which was renewed lately and without a rejected write."""
    view = terms.TermView()
    _observe(world, view)
    assert world.store.rejections == []
    assert (
        view.heartbeat.sent_at_ms / 1000.0 > world.loop.now_s - terms.UNREACHABLE_HOLDER_TIMEOUT_S
    )
    return view


def _submit_to_all_routes(world: simulation.World, name_bytes: int) -> list[str]:
    """Submits a job to each of many queues; none can start."""
    names = [f"{number:05}".ljust(name_bytes, "q") for number in range(ROUTES)]
    for number, name in enumerate(names):
        route = dataclasses.replace(world.route, name=name)
        job = simulation.make_job(f"{number:016x}", simulation.make_step(), route=name)
        world.submit(job, route)
    return names


@pytest.mark.parametrize("name_bytes", [6, 40])
def test_counts_of_thousands_of_queues(name_bytes):
    """Guards against a term that is lost because its heartbeat fits into no row.

    Load pattern: jobs wait on each of thousands of queues.
    """
    world = simulation.World(1, worker_count=0)
    names = _submit_to_all_routes(world, name_bytes)
    world.claim_term("a")
    world.run(3.0)
    view = _observe_renewed_term(world)
    assert {terms.count_pending(view, name) for name in names} == {1}
    assert terms.count_pending(view, "other") == 0


def test_counts_of_an_earlier_term_or_state_do_not_count():
    """Guards against counts that stay after the jobs have started, or after a change of holders."""
    world = simulation.World(1, worker_count=0)
    names = _submit_to_all_routes(world, 40)
    first = world.claim_term("a")
    world.run(2.0)
    view = terms.TermView()
    for number in range(ROUTES):
        world.cancel(f"{number:016x}")
    world.run(3.0)
    _observe(world, view)
    assert {terms.count_pending(view, name) for name in names} == {0}
    first.stop("killed")
    world.submit(simulation.make_job("f" * 16, simulation.make_step(), route=names[-1]))
    world.claim_term("b")
    world.run(3.0)
    _observe(world, view)
    assert [name for name in names if terms.count_pending(view, name)] == [names[-1]]


def test_thousands_of_suspected_workers():
    """Guards against a term that is lost because its suspected workers fit into no row."""
    world = simulation.World(1, worker_count=0)
    holder = world.claim_term("a")
    world.run(1.0)
    for number in range(3_000):
        worker_id = f"i-{number:05}".ljust(190, "w")
        worker = world.fleet.add(worker_id, "r0", model.Resources(1, 1, 1))
        world.register(worker.worker_id)
    world.run(2.0)
    for number, worker in enumerate(holder._state.workers.values()):
        worker.suspected_until_s = world.loop.now_s + 5.0 + number / 1_000.0
    world.run(1.0)
    view = _observe_renewed_term(world)
    suspects = terms.list_suspects(view, world.loop.now_s)
    assert len(suspects) == health.MAX_LISTED_SUSPECTS
    assert min(suspects.values()) > 6.0


@pytest.mark.parametrize(
    ("entries", "first_row_bytes", "row_bytes", "max_rows", "sizes", "omitted"),
    [
        (0, 1_000, 1_000, 3, [0], 0),
        (10, 1_000, 1_000, 3, [10], 0),
        (100, 1_000, 1_000, 3, [52, 48], 0),
        (100, 64, 1_000, 3, [0, 52, 48], 0),
        (200, 1_000, 1_000, 3, [52, 52, 52], 44),
        (5, 10, 10, 1, [0], 5),
    ],
)
def test_division(entries, first_row_bytes, row_bytes, max_rows, sizes, omitted):
    """Guards against rows that are larger than allowed, and entries that are lost uncounted."""
    named = [(f"n{number:05}", number) for number in range(entries)]
    divided = division.divide_entries(named, first_row_bytes, row_bytes, max_rows)
    assert [len(row) for row in divided.rows] == sizes
    assert divided.omitted == omitted
    merged = {name: number for row in divided.rows for name, number in row.items()}
    assert merged == dict(named[: entries - omitted])
    for row in divided.rows:
        assert len(tables.encode_counts(tables.PendingCounts(2**53, row))) <= max(row_bytes, 100)


@pytest.mark.parametrize("data", [b"", b"\x80", b"\x82\x01\xa1\x01\x01", b"\x82\x01\xa1aq\x20"])
def test_odd_counts_leave_the_heartbeat(data):
    """Guards against a row of counts that hides the heartbeat because it cannot be decoded."""
    world = simulation.World(1, worker_count=0)
    world.claim_term("a")
    world.run(1.0)
    world.store.put(tables.get_counts_key(0), data)
    view = terms.TermView()
    with pytest.raises(exceptions.ProtocolError):
        _observe(world, view)
    assert view.heartbeat is not None
    assert terms.count_pending(view, "q") == 0
