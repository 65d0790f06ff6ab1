"""Tests of the operators' HTTP interface."""

import pytest
from returns import result
from werkzeug import test as werkzeug_test

from lycheegate.entry import operators, services
from lycheegate.release import store
from lycheegate.utils import clock
from standins import entry_services

_TOKEN, _EXPIRED = entry_services.TOKEN, entry_services.EXPIRED_TOKEN
_CALLER_HASH = "sha256$9999999999999999$" + "0" * 64
_NOTE = f"""\
base: 0
note: First release
client_accounts:
  added: [{{name: studio, quota_accelerators: 16}}]
guarantees:
  added: [{{client_account: studio, name: hero, accelerators: 8}}]
callers:
  added:
    - {{name: stylist-1, client_account: studio, brand_desk: colour desk,
       token_hash: "{_CALLER_HASH}", classes: [preview]}}
"""


class _Client:
    def __init__(self, token=_TOKEN):
        self.services = entry_services.FakeServices()
        self.token = token
        self.clock = clock.FakeClock()
        self.client = werkzeug_test.Client(
            operators.OperatorApplication(
                self.services,
                self.clock,
                lambda *args, **options: store.accept(*args, sleep=lambda _: None, **options),
            )
        )

    def call(self, method, name, **options):
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        response = self.client.open(
            operators.PREFIX + name, method=method, headers=headers, **options
        )
        return response.status_code, response.get_json()

    def apply(self, note=_NOTE):
        return self.call("POST", "release/apply?file=spring.yaml", data=note)


@pytest.mark.parametrize(
    ("token", "error"),
    [
        (None, "token_missing"),
        (_TOKEN[:-1] + "y", "token_wrong"),
        ("secret", "token_wrong"),
        (_EXPIRED, "token_expired"),
    ],
)
@pytest.mark.parametrize("name", ["status", "release/apply", "nothing"])
def test_operators_need_a_valid_token(token, error, name):
    """Guards against use of the interface without a valid, unexpired token."""
    client = _Client(token)
    status, body = client.call("POST", name, data=_NOTE)
    assert (status, body["error"]) == (401, error)
    assert client.services.table.request_count == 0


@pytest.mark.parametrize(
    ("method", "name", "options", "expected"),
    [
        ("GET", "nothing", {}, (404, "not_found")),
        ("GET", "release/apply", {}, (405, "method_not_allowed")),
        ("POST", "release/apply", {"data": "x" * 3000}, (413, "request_entity_too_large")),
        ("POST", "release/apply", {"data": "a: ["}, (422, "findings")),
        ("POST", "release/plan", {"data": "base: 0"}, (422, "findings")),
        ("GET", "release/history?limit=0", {}, (400, "bad_request")),
        ("GET", "release/show?number=%C2%B2", {}, (400, "bad_request")),
        ("GET", "release/show?number=4", {}, (404, "release_unknown")),
        ("POST", "drain", {}, (400, "missing_field")),
        ("POST", "drain?vm_id=entry-9", {}, (404, "vm_unknown")),
    ],
)
def test_invalid_requests_are_refused_with_their_reason(method, name, options, expected):
    """Guards against an unhandled exception, or an effect, of an invalid request."""
    client = _Client()
    status, body = client.call(method, name, **options)
    assert (status, body["error"]) == expected
    assert client.services.table.write_count == 0


def test_note_is_checked_planned_applied_and_shown():
    """Guards against an accepted release that is not in force, and a disclosed token hash."""
    client = _Client()
    assert client.call("POST", "release/check", data=_NOTE) == (
        200,
        {"ok": True, "checked_against": 0, "findings": []},
    )
    status, plan = client.call("POST", "release/plan", data=_NOTE)
    assert (status, plan["number"], len(plan["changes"])) == (200, 1, 3)
    assert plan["moves"][0]["new"].endswith("at suwon")
    assert client.services.table.write_count == 0
    status, applied = client.apply()
    assert (status, applied["number"], applied["already"]) == (200, 1, False)
    assert client.services.current_release.get().number == 1
    assert client.apply()[1]["already"]
    _, history = client.call("GET", "release/history")
    assert history["releases"][0]["operator"] == "kim"
    assert history["releases"][0]["accepted_at"] == "2026-01-01T00:00:00+00:00"
    _, shown = client.call("GET", "release/show")
    assert shown["guarantees"][0]["data_centre"] == "suwon"
    assert _CALLER_HASH not in str([plan, applied, history, shown])


def test_findings_name_the_file_and_position():
    """Guards against findings without a position.

    The capacity is short because lost and leaving workers do not count.
    """
    note = _NOTE.replace("accelerators: 8", "accelerators: 8, count: 2")
    status, body = _Client().apply(note)
    finding = body["findings"][0]
    assert (status, finding["code"]) == (422, "capacity_short")
    assert (finding["file"], finding["line"], finding["column"]) == ("spring.yaml", 6, 11)


def test_outdated_note_is_refused_with_the_changes_since():
    """Guards against a refusal that does not list the changes by others."""
    client = _Client()
    client.apply()
    note = "base: 0\nclient_accounts: {added: [{name: label}]}\n"
    status, body = client.apply(note)
    assert (status, body["error"], body["newest"]) == (409, "base_outdated", 1)
    assert [c["name"] for c in body["between"][0]["changes"]] == [
        "studio",
        "studio/hero",
        "stylist-1",
    ]


def test_nothing_is_written_without_a_majority():
    """Guards against a release that a majority of entry VMs has not acknowledged."""
    client = _Client()
    client.services.prepare_result = result.Failure(services.NoMajority(1, 2, ("entry-2",)))
    status, body = client.apply()
    assert (status, body["error"], body["missing"]) == (503, "no_majority", ["entry-2"])
    assert client.services.table.write_count == 0


def test_nothing_is_written_after_a_late_majority():
    """Guards against a write after members have dropped their acknowledgements."""
    client = _Client()
    prepare = client.services.prepare_release

    def pause(release):
        client.clock.advance(operators.WRITE_WINDOW_S)
        return prepare(release)

    client.services.prepare_release = pause
    status, body = client.apply()
    assert (status, body["error"]) == (503, "unavailable")
    assert client.services.table.write_count == 0


def test_unknown_outcome_is_reported():
    """Guards against a report that nothing was written when the release may have been."""
    client = _Client()
    client.services.table.faults.set(down=True)
    assert client.apply()[1]["error"] == "unavailable"
    client.services.table.faults.set(down=False, lose_requests=99)
    status, body = client.apply()
    assert (status, body["error"], body["number"]) == (504, "unsettled", 1)
    client.services.table.faults.set(lose_requests=0, lose_answers=1)
    assert client.apply()[0] == 200


def test_check_works_while_the_table_is_unreachable():
    """Guards against a check of a note that fails during an outage of the table service."""
    client = _Client()
    client.apply()
    client.services.table.faults.set(down=True)
    status, body = client.call("POST", "release/check", data=_NOTE)
    assert (status, body["checked_against"], body["ok"]) == (200, 1, False)


def test_lists_are_filtered_and_name_missing_vms():
    """Guards against incomplete lists that do not name the entry VMs missing from them."""
    client = _Client()
    client.apply()
    _, body = client.call("GET", "callers?client_account=studio")
    assert [(c["name"], c["brand_desk"]) for c in body["callers"]] == [("stylist-1", "colour desk")]
    assert client.call("GET", "callers?client_account=label")[1]["callers"] == []
    _, body = client.call("GET", "jobs?state=running&limit=1")
    assert (body["total"], len(body["jobs"]), body["missing"]) == (2, 1, ["entry-2"])
    assert len(client.call("GET", "workers?state=lost")[1]["workers"]) == 1
    _, body = client.call("GET", "accounts")
    assert body["accounts"][0]["callers"] == ["stylist-1"]
    assert body["accounts"][0]["guarantees"][0]["reason"] == "capacity_lost"
    assert client.call("GET", "status")[1]["release"] == 1
    assert client.call("GET", "histograms")[1]["histograms"]["histograms"][0]["count"] == 1
    assert client.call("POST", "drain?vm_id=entry-1")[0] == 200
    assert client.services.drained == ["entry-1"]


def test_operators_beyond_the_limit_are_refused_at_once():
    """Guards against requests of operators that occupy all threads for callers."""
    client = _Client()
    nested = []
    client.services.on_status = lambda: nested.append(client.call("GET", "callers"))
    assert client.call("GET", "status")[0] == 200
    assert [(status, body["error"]) for status, body in nested] == [(503, "busy")]
    assert client.call("GET", "callers")[0] == 200
