"""Tests of when refusals are in force as versions of the configuration come and go."""

import pytest

from lycheegate.jobs import model, refusal_switch

_MAX_AGE_S = 3.5
_ON_DELAY_S = refusal_switch.compute_on_delay_s(_MAX_AGE_S)
_KEEP_S = refusal_switch.compute_keep_s(_MAX_AGE_S)


def _make_route(is_on: bool, name: str = "q", prefix: str = "/q/") -> model.Route:
    return model.Route(name, "h", prefix, "s", 1, 3, 3.0, 1.0, refuses_late=is_on)


def _apply(versions: list[tuple[int, float, list[model.Route]]]) -> refusal_switch.Switches:
    switches = refusal_switch.Switches()
    for version, at_s, routes in versions:
        configuration = model.Configuration(version, {r.name: r for r in routes}, {}, {}, {}, 1)
        switches = refusal_switch.apply_configuration(switches, configuration, at_s)
    return switches


_ON, _OFF = _make_route(True), _make_route(False)
_OTHER = _make_route(True, "o", "/o/")
_RENAMED = _make_route(False, "renamed")


@pytest.mark.parametrize(
    ("versions", "may_refuse_at_s"),
    [
        ([(1, 0.0, [_OFF])], None),
        ([(1, 0.0, [_ON])], _ON_DELAY_S),
        ([(1, 0.0, [_ON]), (2, 50.0, [_ON, _OTHER])], _ON_DELAY_S),
        ([(1, 0.0, [_ON]), (3, 50.0, [_ON])], 50.0 + _ON_DELAY_S),
        ([(1, 0.0, [_ON]), (2, 20.0, [_OFF]), (3, 50.0, [_ON])], 50.0 + _ON_DELAY_S),
        ([(1, 0.0, [_RENAMED]), (2, 50.0, [_ON])], 50.0 + _ON_DELAY_S),
        ([(1, 0.0, [_ON]), (2, 50.0, [])], None),
    ],
    ids=["off", "on", "other_queue", "version_not_seen", "off_and_on", "other_name", "removed"],
)
def test_refusals_begin_after_all_calls_of_older_views(versions, may_refuse_at_s):
    """Guards against a refusal while a VM may still store the job without the condition."""
    switches = _apply(versions)
    for at_s in (60.0, 100.0, 200.0, 1e6):
        found = refusal_switch.may_refuse(switches, _ON, at_s, _MAX_AGE_S)
        assert found is (may_refuse_at_s is not None and at_s >= may_refuse_at_s), at_s
    assert not refusal_switch.may_refuse(switches, _OFF, 1e6, _MAX_AGE_S)


@pytest.mark.parametrize(
    ("versions", "route", "load_age_s", "bound_until_s"),
    [
        ([(1, 0.0, [_OFF])], _OFF, None, 0.0),
        ([(1, 0.0, [_OFF, _OTHER])], _OFF, 0.0, 0.0),
        ([(1, 0.0, [_ON])], _ON, None, 1e9),
        ([(1, 0.0, [_ON])], _OFF, None, 1e9),
        ([(1, 0.0, [_OFF])], _ON, None, 1e9),
        ([(1, 0.0, [_ON]), (2, 50.0, [_OFF])], _OFF, None, 50.0 + _KEEP_S),
        ([(1, 0.0, [_ON]), (2, 50.0, [_OFF]), (3, 99.0, [_OFF])], _OFF, None, 50.0 + _KEEP_S),
        ([(1, 0.0, [_ON]), (4, 50.0, [_RENAMED, _OTHER])], _RENAMED, None, 50.0 + _KEEP_S),
        ([(1, 0.0, [_OFF])], _OFF, _KEEP_S - 1.0, 1e9),
        ([(1, 0.0, [_OFF])], _OFF, _KEEP_S, 0.0),
    ],
    ids=[
        "never_on",
        "other_queue",
        "on",
        "on_since_the_call_began",
        "off_since_the_call_began",
        "removed",
        "removed_before_the_last_version",
        "other_name",
        "started_after_the_removal",
        "started_long_after_the_removal",
    ],
)
def test_condition_is_kept_while_refusals_may_be_in_force(
    versions, route, load_age_s, bound_until_s
):
    """Guards against a job stored after its refusal, and against conditions nobody asked for."""
    switches = _apply(versions)
    for at_s in (100.0, 480.0, 490.0, 1e6):
        found = refusal_switch.is_bound(switches, route, at_s, _MAX_AGE_S, load_age_s)
        assert found is (at_s < bound_until_s), at_s


def test_bounds():
    """Guards against bounds that leave out a part of the time for which a call is on its way."""
    assert (_ON_DELAY_S, _KEEP_S) == (3.5 + 66.0, 3.5 + 2 * 66.0 + 300.0)
