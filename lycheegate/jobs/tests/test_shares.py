"""Shares of client accounts: recent use, turns, and replays of loads beside the former order."""

import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheegate.jobs import model, scheduling, shares, sharing
from lycheegate.jobs.tests import share_replay

_KEY = ("render", "a")
_TASK = model.Resources(4_000, 16_000, 1)


@pytest.mark.parametrize(
    ("changes", "at_s", "expected"),
    [
        # Constant use rises from nothing at the begin of the term to the whole.
        ([(0.0, 8)], 0.0, 0.0),
        ([(0.0, 8)], 10.0, 8 * 4 / 7),
        ([(0.0, 8)], 30.0, 8.0),
        ([(0.0, 8)], 900.0, 8.0),
        # Use counts half after the half-life, and not at all beyond the window.
        ([(0.0, 8), (5.0, 0)], 15.0, 8 * (2**-1 - 2**-1.5) * 8 / 7),
        ([(0.0, 8), (5.0, 0)], 36.0, 0.0),
        ([(0.0, 8), (5.0, 0)], 900.0, 0.0),
    ],
)
def test_recent_use_decays_and_expires(changes, at_s, expected):
    """Guards against an account that is held back for use of minutes ago."""
    recent = shares.RecentUse()
    for changed_at_s, count in changes:
        shares.update_recent(
            recent, {_KEY: (0.0, 0.0, float(count))} if count else {}, changed_at_s
        )
    shares.update_recent(recent, {}, at_s)
    assert shares.compute_recent(recent, _KEY)[2] == pytest.approx(expected, abs=1e-9)
    assert len(recent.samples) <= shares.WINDOW_S / shares.SAMPLE_INTERVAL_S + 2


@given(st.lists(st.tuples(st.floats(0.01, 12.0), st.integers(0, 9)), min_size=1, max_size=40))
def test_recent_use_is_the_average_of_the_window(steps):
    """Guards against use that is counted twice or lost between passes of any distance."""
    recent, now_s, history = shares.RecentUse(), 0.0, []
    shares.update_recent(recent, {_KEY: (0.0, 0.0, 1.0)}, now_s)
    used = 1
    for elapsed_s, count in steps:
        history.append((now_s, now_s + elapsed_s, used))
        now_s, used = now_s + elapsed_s, count
        shares.update_recent(recent, {_KEY: (0.0, 0.0, float(count))}, now_s)

    def weigh(begin_s, end_s):
        return 0.5 ** ((now_s - end_s) / 10.0) - 0.5 ** ((now_s - begin_s) / 10.0)

    # The window is cut at a sample, so it is up to one interval shorter than stated.
    since_s = recent.samples[0][0]
    assert since_s == 0.0 or 0.0 <= since_s - (now_s - shares.WINDOW_S) <= 1.0 + 1e-6
    expected = sum(u * weigh(max(b, since_s), e) for b, e, u in history if e > since_s) / 0.875
    assert shares.compute_recent(recent, _KEY)[2] == pytest.approx(expected, abs=1e-6)


def _use_former_order(monkeypatch) -> None:
    monkeypatch.setattr(sharing, "measure_shares", lambda context, waiting: None)


def _make_replay(workers, jobs, weights=None):
    """Returns a replay in which jobs, as account and step, were submitted at once."""
    submissions = [share_replay.Submission(0.0, account, step) for account, step in jobs]
    return share_replay.Replay(workers, submissions, weights)


def _list_places(replay):
    """Returns the worker of each run, in the order in which the runs were placed."""
    jobs = replay.current.jobs.values()
    return [(run.task, run.worker_id) for job in jobs for run in job.list_runs()]


@given(
    st.integers(1, 4),
    st.lists(
        st.tuples(st.sampled_from([0.5, 1.0, 2.0]), st.integers(1, 3)), min_size=2, max_size=6
    ),
)
def test_shares_of_equal_backlogs_differ_by_at_most_one_task(workers, accounts):
    """Guards against room that goes to the account with the smallest jobs, or against weights.

    Each account has more work than all workers hold, in jobs of another size.
    """
    jobs, weights = [], {}
    for number, (weight, tasks) in enumerate(accounts):
        weights[f"a{number}"] = weight
        jobs += [(f"a{number}", model.Step(tasks, _TASK, 9.0))] * (workers * 8 // tasks + 1)
    replay = _make_replay(workers, jobs, weights)
    replay.run(0.05)
    counts = {name: replay.count_running(name) for name in weights}
    assert sum(counts.values()) == workers * 8
    for name, weight in weights.items():
        # No account could have had its last task only after another was further behind.
        others = [counts[other] / weights[other] for other in weights if other != name]
        assert (counts[name] - 1) / weight <= min(others) + 1e-9


def test_shares_converge_after_one_account_had_all_the_room():
    """Guards against lent room that is never given back, or that is given back by stopping runs."""
    single = model.Step(1, _TASK, 3.0)
    submissions = [share_replay.Submission(0.0, "early", single, "patient")] * 900
    submissions += [share_replay.Submission(9.1, "late", single, "patient")] * 600
    replay = share_replay.Replay(4, submissions)
    counts = {}

    def count(replay):
        counts[replay.now_s] = [replay.count_running(name) for name in ("early", "late")]

    replay.run(45.0, count)
    assert counts[9.0] == counts[12.0] == [32, 0]  # Nothing is stopped to give the share back.
    assert counts[13.0][1] > 20  # The recent use of the first account counts.
    assert abs(counts[45.0][0] - counts[45.0][1]) <= 2


_JOBS = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.integers(1, 9),
        st.sampled_from([(4_000, 1), (12_000, 3), (32_000, 8), (6_000, 0)]),
        st.booleans(),
    ),
    max_size=14,
)


def _make_jobs(drawn):
    return [
        (account, model.Step(count, model.Resources(cores, 16_000, accelerators), 6.0, gang=gang))
        for account, count, (cores, accelerators), gang in drawn
    ]


@given(_JOBS, st.booleans())
def test_order_is_the_former_one_without_contention(drawn, is_one_account):
    """Guards against other places for work that all fits, or that is all of one account."""
    jobs = _make_jobs(drawn)
    if is_one_account:
        jobs = [("a", step) for _, step in jobs]
    workers = 3 if is_one_account else 14 * 9
    with pytest.MonkeyPatch.context() as monkeypatch:
        places = []
        for _ in range(2):
            replay = _make_replay(workers, jobs)
            replay.run(14.0 if is_one_account else 0.05)
            places.append((_list_places(replay), replay.placed))
            _use_former_order(monkeypatch)
    assert places[0] == places[1]


@given(_JOBS)
def test_no_room_is_left_that_a_waiting_task_could_use(drawn):
    """Guards against room that idles because the account whose turn it is cannot use it."""
    replay = _make_replay(2, _make_jobs(drawn))
    replay.run(0.05)
    rooms = [worker.room for worker in replay.current.workers.values()]
    reserved = {w for r in replay.current.reservations.values() for w in r.placement.values()}
    for job in replay.current.jobs.values():
        for step in job.steps.values():
            if step.list_unplaced() and not step.step.gang and not reserved:
                assert not any(step.step.need.fits(room) for room in rooms)


@given(_JOBS)
def test_every_job_ends(drawn):
    """Guards against a job that starves, such as a gang beside many single tasks."""
    jobs = [(a, step) for a, step in _make_jobs(drawn) if not step.gang or step.count <= 2]
    replay = _make_replay(2, jobs)
    replay.run(14 * 9 * 6.5)
    assert not replay.current.jobs


def test_accounts_below_their_share_go_by_size():
    """Guards against small jobs that wait for large ones although their account has little.

    The equal share is a third of 7 accelerators, so the second account reaches it with its third.
    """
    amounts = {name: (0.0, 0.0, n) for name, n in (("busy", 6.0), ("small", 1.0), ("large", 0.0))}
    account_shares = shares.AccountShares((0.0, 0.0, 8.0), amounts, {})
    items = [(account, account) for account in ("busy", "small", "small", "small", "large")]
    queue = shares.TurnQueue(items, account_shares.compute_turn_key)
    order = []
    while (account := queue.get_next()) is not None:
        order.append(account)
        account_shares.add(account, _TASK, 1)
        queue.end_turn(True)
    assert order == ["small", "small", "large", "small", "busy"]


def test_jobs_of_one_account_keep_their_order():
    """Guards against turns that also change which job of an account goes first."""
    jobs = [(account, model.Step(4, _TASK, 6.0)) for account in "abcab" * 4]
    replay = _make_replay(1, jobs)
    ended = {account: [] for account in "abc"}
    known = {}

    def watch(replay):
        for job_id in sorted(known.keys() - replay.current.jobs.keys()):
            ended[known.pop(job_id)].append(job_id)
        known.update((j.job.job_id, j.job.account) for j in replay.current.jobs.values())

    replay.run(100.0, watch)
    assert all(job_ids == sorted(job_ids) for job_ids in ended.values())
    assert [len(job_ids) for job_ids in ended.values()] == [8, 8, 4]


def _play_burst(is_shared, monkeypatch):
    """Plays a hundred jobs of one account, and two larger ones of each of nine others."""
    if not is_shared:
        _use_former_order(monkeypatch)
    submissions = [share_replay.Submission(0.0, "large", model.Step(13, _TASK, 6.5))] * 100
    for number in range(9):
        step = model.Step(20, _TASK, 6.5)
        for at_s in (0.0, 1.0 + 0.2 * number):
            submissions.append(share_replay.Submission(at_s, f"small{number}", step))
    replay = share_replay.Replay(20, submissions)
    replay.run(90.0)
    assert sum(served.ended for served in replay.served.values()) == 118
    return replay


def test_hundred_jobs_of_one_account_do_not_delay_those_of_others(monkeypatch):
    """Guards against small accounts whose jobs wait for the hundred smaller ones of another.

    All demand of the small accounts is below their equal share, so all of it should be in time.
    The large account gets what is left: 160 accelerators start 480 tasks until the objective, of
    which the others need 360, so 9 of its jobs of 13 tasks are in time.
    """
    served = _play_burst(True, monkeypatch).served
    entitled = {name: 9 if name == "large" else 2 for name in served}
    rates = [served[name].in_time / entitled[name] for name in served]
    assert min(rates) >= 0.95 * statistics.mean(rates)
    small = [served[name] for name in served if name != "large"]
    assert max(each.oldest_wait_s for each in small) <= 6.5 + share_replay.PASS_INTERVAL_S
    former = _play_burst(False, monkeypatch).served
    assert min(each.in_time for each in former.values()) == 0


def test_shares_are_logged_at_intervals_and_bounded():
    """Guards against a log that is flooded while work waits, or that does not show who waits."""
    step = model.Step(9, _TASK, 6.0)
    replay = _make_replay(1, [(f"a{number:02}", step) for number in range(14)])
    replay.run(20.0)
    assert 3 <= len(replay.events) <= 5
    fields = replay.events[-1]
    assert fields["service"] == share_replay.SERVICE
    assert len(fields["accounts"]) == sharing.MAX_REPORTED_ACCOUNTS
    assert fields["more"] == 4
    assert all(each["tasks"] and each["oldest_s"] >= 14.0 for each in fields["accounts"])


@pytest.mark.parametrize(
    ("guaranteed", "expected"), [(0, ["busy", "idle", "busy"]), (64, ["busy", "busy", "idle"])]
)
def test_urgent_work_beyond_the_guarantee_is_shared(guaranteed, expected):
    """Guards against an account whose urgent jobs wait for all earlier ones of another.

    Guaranteed urgent work keeps the order of acceptance, in which both jobs of the busy account
    come first.
    """
    step = model.Step(1, model.Resources(4_000, 16_000, 8), 2.0, gang=True)
    replay = share_replay.Replay(2, [], {"busy": 1.0, "idle": 1.0})
    accounts = replay.current.configuration.accounts
    for name in accounts:
        accounts[name] = model.Account(name, frozenset(), guaranteed)
    for account in ("busy", "busy", "idle"):
        replay.now_s += 0.01
        replay.submit(share_replay.Submission(0.0, account, step, "urgent"))
    replay.run(6.0)
    assert [account for _, account in replay.placed] == expected


@pytest.mark.parametrize("accounts", ["aab", "baa"])
def test_urgent_work_stops_work_of_accounts_above_their_share(accounts):
    """Guards against equal losses of which the account with the least work has most."""
    step = model.Step(1, model.Resources(4_000, 16_000, 8), 9.0)
    replay = _make_replay(3, [(account, step) for account in accounts])
    replay.run(0.05)
    for account in "ab":
        replay.submit(share_replay.Submission(0.0, account, step))
    urgent = model.Step(1, step.need, 1.0, gang=True)
    replay.submit(share_replay.Submission(0.0, "c", urgent, "urgent"))
    replay.run(1.0)
    assert replay.stopped == ["a"]


@pytest.mark.parametrize(
    ("need", "count", "label", "is_contended"),
    [
        # Each of 2 workers has 8 accelerators, of which 3 cannot be used by tasks of 5.
        (model.Resources(1_000, 100, 5), 2, "", True),
        (model.Resources(1_000, 100, 4), 2, "", False),
        (model.Resources(1_000, 100, 4), 2, "fast", True),
        (model.Resources(1_000, 100, 1), 5, "fast", True),
    ],
)
def test_room_in_too_small_parts_is_contended(need, count, label, is_contended):
    """Guards against the former order while more work waits than fits, as room is fragmented."""
    step = model.Step(count, need, 6.0, label=label)
    replay = _make_replay(2, [(account, step) for account in "ab"])
    if need.accelerators == 1:
        replay.current.workers["w001"].labels = frozenset({"fast"})
    replay.run(0.05)
    assert bool(replay.events) == is_contended


@pytest.mark.parametrize(
    ("used", "expected"), [({"a": 8, "b": 0}, (1.0, 1.5)), ({"a": 6, "b": 2}, (1.0, 1.25))]
)
def test_victims_of_accounts_above_their_share_cost_less(used, expected):
    """Guards against stops that hit an account below its share, and against an unbounded ratio."""
    amounts = {account: (0.0, 0.0, float(count)) for account, count in used.items()}
    account_shares = shares.AccountShares((0.0, 0.0, 8.0), amounts, {})
    found = tuple(account_shares.compute_victim_ratio(account) for account in used)
    assert found == pytest.approx(expected)


def test_limit_of_a_pass_is_kept():
    """Guards against a pass that places so many tasks in turns that the term expires."""
    replay = _make_replay(100, [(account, model.Step(900, _TASK, 6.0)) for account in "ab"])
    replay.run(0.05)
    counts = [replay.count_running(account) for account in "ab"]
    assert counts == [scheduling.MAX_PLACED_TASKS / 2] * 2
