"""Tests of findings on release notes and of plans."""

import datetime

import pytest

from lycheegate.model import releases, resources
from lycheegate.release import capacity, checks, notes, plans
from lycheegate.utils import findings

_HASH = "sha256$00112233aabbccdd$" + "0" * 64
_NEW_HASH = "sha256$ffff2233aabbccdd$" + "1" * 64
_RACK = resources.Adjacency.RACK


def _make_workers(data_centre: str, racks: int) -> list[resources.Worker]:
    return [
        resources.Worker(f"{data_centre}-{rack}-{n}", "", "kr", data_centre, f"r{rack}", 8, 8)
        for rack in range(racks)
        for n in range(2)
    ]


def _make_context(today: str = "2026-06-30") -> plans.Context:
    # Suwon has two racks, each with two workers of 8 accelerators; Goyang has one such rack.
    release = releases.Release(
        7,
        {"studio": releases.ClientAccount("studio", 40), "label": releases.ClientAccount("label")},
        {
            ("studio", "hero"): releases.Guarantee(
                "studio", "hero", resources.Shape(2, 8, _RACK), 1, "suwon", 3
            )
        },
        {
            "retoucher-1": releases.Caller("retoucher-1", "studio", "hero-desk", _HASH),
            "stylist-9": releases.Caller(
                "stylist-9", "label", "colour", "sha256$9999999999999999$" + "0" * 64
            ),
        },
    )
    return plans.Context(
        release,
        capacity.make_capacity([*_make_workers("suwon", 2), *_make_workers("goyang", 1)]),
        ("preview", "hero-shot"),
        datetime.date.fromisoformat(today),
    )


def _check(text: str) -> list[findings.Finding]:
    return checks.check_note(notes.parse_note(text, "note.yaml"), _make_context())


def _plan(text: str) -> plans.Plan:
    document = notes.parse_note(text, "note.yaml")
    assert checks.check_note(document, _make_context()) == []
    return plans.make_plan(document.value, _make_context())


_ACCOUNT = "base: 7\nclient_accounts:\n"
_GUARANTEE = "base: 7\nguarantees:\n"
_CALLER = "base: 7\ncallers:\n"
_DESK = f'brand_desk: desk, token_hash: "{_NEW_HASH}"'


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        # Form of the document.
        ("note: x\n", [(1, 1, "missing_field")]),
        ("base: seven\n", [(1, 7, "wrong_type")]),
        ("base: 7\n", [(1, 1, "no_changes")]),
        ("base: 7\nguarantee: {}\n", [(2, 1, "unknown_field")]),
        (_ACCOUNT + "  withdrawn: label\n", [(3, 14, "wrong_type")]),
        (_ACCOUNT + "  changed:\n", [(3, 11, "wrong_type")]),
        (
            _ACCOUNT + "  added:\n    - {name: new, quota: 3}\n    - {weight: 0}\n",
            [(4, 19, "unknown_field"), (5, 7, "missing_field"), (5, 16, "out_of_range")],
        ),
        (
            _CALLER + "  added:\n    - {name: c, client_account: studio, brand_desk: d}\n",
            [(4, 7, "missing_field")],
        ),
        (
            _CALLER + "  changed:\n    - {name: stylist-9, token_hash: secret}\n",
            [(4, 37, "out_of_range")],
        ),
        (
            _CALLER + '  changed:\n    - {name: stylist-9, brand_desk: "a\\x1b[2J"}\n',
            [(4, 37, "out_of_range")],
        ),
        # Base.
        (
            "base: 6\ncallers: {withdrawn: [stylist-9]}\n",
            [(1, 7, "base_outdated")],
        ),
        ("base: 8\ncallers: {withdrawn: [stylist-9]}\n", [(1, 7, "base_unknown")]),
        # Client accounts.
        (_ACCOUNT + "  added: [{name: studio}]\n", [(3, 18, "account_exists")]),
        (_ACCOUNT + "  added: [{name: n}, {name: n}]\n", [(3, 29, "stated_twice")]),
        (_ACCOUNT + "  changed: [{name: stuido}]\n", [(3, 20, "account_unknown")]),
        (_ACCOUNT + "  changed: [{name: label, weight: 1}]\n", [(3, 20, "unchanged")]),
        (_ACCOUNT + "  withdrawn: [nobody]\n", [(3, 15, "account_unknown")]),
        (_ACCOUNT + "  withdrawn: [label]\n", [(3, 15, "callers_left")]),
        (_ACCOUNT + "  withdrawn: [label]\ncallers:\n  withdrawn: [stylist-9]\n", []),
        (
            _ACCOUNT + "  withdrawn: [label]\ncallers:\n"
            "  changed: [{name: stylist-9, client_account: studio}]\n",
            [],
        ),
        (
            _ACCOUNT + "  changed: [{name: studio, quota_accelerators: 15}]\n",
            [(3, 48, "quota_below_guarantees")],
        ),
        # Guarantees.
        (
            _GUARANTEE + "  added: [{client_account: studio, name: hero, accelerators: 1}]\n",
            [(3, 42, "guarantee_exists")],
        ),
        (
            _GUARANTEE + "  added: [{client_account: stdio, name: x, accelerators: 1}]\n",
            [(3, 28, "account_unknown")],
        ),
        (
            _GUARANTEE + "  added: [{client_account: label, name: x, accelerators: 9}]\n",
            [(3, 11, "shape_impossible")],
        ),
        (
            _GUARANTEE + "  added: [{client_account: label, name: x, accelerators: 8, "
            "members: 3, adjacency: rack}]\n",
            [(3, 11, "shape_impossible")],
        ),
        (
            _GUARANTEE + "  added: [{client_account: label, name: x, accelerators: 8, "
            "members: 2, adjacency: worker}]\n",
            [(3, 11, "shape_impossible")],
        ),
        (
            _GUARANTEE + "  added: [{client_account: label, name: x, accelerators: 8, "
            "data_centre: swon}]\n",
            [(3, 74, "data_centre_unknown")],
        ),
        (
            _GUARANTEE + "  added: [{client_account: label, name: x, accelerators: 8, "
            "data_centre: suwon, count: 2}]\n",
            [],
        ),
        (
            _GUARANTEE + "  added: [{client_account: label, name: x, accelerators: 8, "
            "data_centre: suwon, count: 3}]\n",
            [(3, 11, "capacity_short")],
        ),
        (
            # Each of the two workers fits two members of 3 accelerators, so 4 units fit, although
            # the 5 units need only 15 of the 16 accelerators.
            _GUARANTEE + "  added: [{client_account: label, name: x, accelerators: 3, "
            "data_centre: goyang, count: 5}]\n",
            [(3, 11, "capacity_short")],
        ),
        (
            _GUARANTEE + "  changed: [{client_account: studio, name: hero, count: 3}]\n",
            [(3, 13, "capacity_short"), (3, 13, "quota_below_guarantees")],
        ),
        (
            _GUARANTEE + "  changed: [{client_account: studio, name: hreo, count: 2}]\n",
            [(3, 44, "guarantee_unknown")],
        ),
        (
            _GUARANTEE + "  withdrawn: [{client_account: label, name: hero}]\n",
            [(3, 45, "guarantee_unknown")],
        ),
        # Callers.
        (
            _CALLER + f"  added: [{{name: retoucher-1, client_account: label, {_DESK}}}]\n",
            [(3, 18, "caller_claimed_twice")],
        ),
        (
            _CALLER + f"  added:\n    - {{name: c, client_account: label, {_DESK}}}\n"
            f"    - {{name: c, client_account: studio, {_DESK}}}\n",
            [(5, 14, "caller_claimed_twice")],
        ),
        (
            _CALLER + "  withdrawn: [stylist-9]\n  changed: [{name: stylist-9, brand_desk: d}]\n",
            [(3, 15, "stated_twice")],
        ),
        (
            _CALLER + f"  added: [{{name: c, client_account: lable, {_DESK}}}]\n",
            [(3, 37, "account_unknown")],
        ),
        (
            "base: 7\nclient_accounts: {withdrawn: [label]}\n"
            "callers:\n  withdrawn: [stylist-9]\n"
            f"  added: [{{name: c, client_account: label, {_DESK}}}]\n",
            [(5, 37, "account_withdrawn")],
        ),
        (
            _CALLER + f"  added: [{{name: c, client_account: label, {_DESK}, "
            "classes: [preview, prewiev], expires_on: 2026-06-29}]\n",
            [(3, 185, "class_unknown"), (3, 207, "expired")],
        ),
        (
            _CALLER + f'  changed: [{{name: stylist-9, token_hash: "{_HASH}"}}]\n',
            [(3, 43, "token_shared")],
        ),
        (
            _CALLER + f"  added:\n    - {{name: c, client_account: label, {_DESK}}}\n"
            f"    - {{name: d, client_account: label, {_DESK}}}\n",
            [(5, 70, "token_shared")],
        ),
        (_CALLER + "  withdrawn: [stylist-8]\n", [(3, 15, "caller_unknown")]),
        (
            "base: 7\nclient_accounts: {added: [new]}\n"
            f"callers: {{added: [{{name: c, client_account: new, {_DESK}}}]}}\n",
            [(2, 27, "wrong_type")],
        ),
        # An invalid account entry does not cause findings on callers that refer to it.
        (
            "base: 7\nclient_accounts: {added: [{name: new, weight: -1}, {name: 7}]}\n"
            f"callers: {{added: [{{name: c, client_account: new, {_DESK}}}]}}\n",
            [(2, 47, "out_of_range"), (2, 59, "wrong_type")],
        ),
    ],
)
def test_findings_have_locations(text, expected):
    """Guards against accepting an invalid note, and against findings at a wrong location."""
    assert [(f.line, f.column, f.code) for f in _check(text)] == expected


def test_similar_names_are_suggested():
    """Guards against a finding on an unknown name that does not suggest a similar one."""
    found = _check(_ACCOUNT + "  changed: [{name: stuido}]\n")
    assert findings.format_findings(found) == (
        "note.yaml:3:20: error: account_unknown: client account 'stuido' does not exist "
        "(allowed: studio)"
    )


def test_plan_lists_changes_and_moved_guarantees():
    """Guards against a plan that omits changes which applying the note would make."""
    plan = _plan(
        "base: 7\n"
        "client_accounts:\n"
        "  added: [{name: atelier, quota_accelerators: 16, weight: 2}]\n"
        "  changed: [{name: studio, quota_accelerators: null}]\n"
        "  withdrawn: [label]\n"
        "guarantees:\n"
        "  added: [{client_account: atelier, name: small, accelerators: 4, count: 2}]\n"
        "  changed: [{client_account: studio, name: hero, data_centre: goyang}]\n"
        "callers:\n"
        f'  changed: [{{name: retoucher-1, token_hash: "{_NEW_HASH}", classes: [preview]}}]\n'
        "  withdrawn: [stylist-9]\n"
    )
    assert [(c.kind, c.subject, c.name, c.detail) for c in plan.changes] == [
        ("added", "client account", "atelier", "quota 16, weight 2"),
        ("withdrawn", "client account", "label", "no quota, weight 1"),
        ("changed", "client account", "studio", "quota_accelerators 40 -> none"),
        (
            "added",
            "guarantee",
            "atelier/small",
            "2 x (1 x 4 accelerators in one data centre) at suwon",
        ),
        ("changed", "guarantee", "studio/hero", "data_centre suwon -> goyang"),
        ("changed", "caller", "retoucher-1", "new token, classes all -> preview"),
        ("withdrawn", "caller", "stylist-9", "label, colour"),
    ]
    assert [(m.client_account, m.name, bool(m.old)) for m in plan.moves] == [
        ("atelier", "small", False),
        ("studio", "hero", True),
    ]
    release = plan.release
    assert release.number == 8
    assert release.guarantees["studio", "hero"].shape == resources.Shape(2, 8, _RACK)
    assert release.guarantees["studio", "hero"].since_release == 8
    assert release.callers["retoucher-1"].brand_desk == "hero-desk"


def test_data_centre_with_most_free_capacity_is_assigned():
    """Guards against assigning a data centre in which the guarantee does not fit."""
    single = [resources.Worker(f"b{n}", "", "kr", "bucheon", f"r{n}", 8, 8) for n in range(4)]
    context = plans.Context(
        releases.Release(0, {"label": releases.ClientAccount("label")}),
        capacity.make_capacity([*single, *_make_workers("goyang", 1)]),
        (),
        datetime.date(2026, 6, 30),
    )
    text = (
        "base: 0\nguarantees:\n  added:\n"
        "    - {client_account: label, name: a, accelerators: 8}\n"
        "    - {client_account: label, name: b, accelerators: 8, members: 2, adjacency: rack}\n"
    )
    document = notes.parse_note(text, "note.yaml")
    assert checks.check_note(document, context) == []
    guarantees = plans.build_release(document.value, context).guarantees
    assert guarantees["label", "a"].data_centre == "bucheon"
    assert guarantees["label", "b"].data_centre == "goyang"


def test_withdrawing_an_account_withdraws_its_guarantees():
    """Guards against guarantees that keep capacity for a withdrawn client account."""
    plan = _plan(
        "base: 7\nclient_accounts: {withdrawn: [studio]}\ncallers: {withdrawn: [retoucher-1]}\n"
    )
    assert plan.release.guarantees == {}
    assert [move.new for move in plan.moves] == [""]


def test_lost_workers_do_not_block_unrelated_notes():
    """Guards against rejecting a change of callers because workers of a guarantee are lost."""
    context = _make_context()
    lost = plans.Context(
        context.release, capacity.make_capacity(_make_workers("goyang", 1)), (), context.today
    )
    document = notes.parse_note("base: 7\ncallers: {withdrawn: [stylist-9]}\n", "note.yaml")
    found = checks.check_note(document, lost)
    assert [(f.severity, f.code) for f in found] == [(findings.Severity.WARNING, "guarantee_short")]


def test_guaranteed_units_fit_in_one_partition():
    """Guards against a gang that spans partitions, which may have different owners."""
    workers = _make_workers("suwon", 2)
    partitions = {worker.worker_id: f"suwon/{worker.rack}" for worker in workers}
    shape = resources.Shape(3, 8)
    assert capacity.make_capacity(workers).find_shape_problem(shape) is None
    assert capacity.make_capacity(workers, partitions).find_shape_problem(shape) is not None
