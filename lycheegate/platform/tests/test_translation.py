"""Tests of the translation between the platform's formats and the product's types."""

import msgspec
import pytest

from lycheegate.jobs import commands, model, progress, runs
from lycheegate.platform import configuration, settings, submissions, workers
from lycheegate.utils import exceptions

_SETTINGS = """node-name=front-suwon-1
zone=suwon
ip=10.1.0.19
listen.front=10.1.0.19:8521
listen.ready=10.1.0.19:8523
port-range=7000,7015
platform.address=10.200.1.7:8524
bounds.hold-max-ms=10000
bounds.revoke-ms=5000
a.new.field=1
"""
_ENTRY = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem-mb": 100, "gpu": 8},
    "labels": ["a", "r1-3"],
    "born": 17,
}


def test_parse_settings():
    """Guards against settings that do not reach the scheduler's policy."""
    found = settings.parse_settings(_SETTINGS)
    assert found.peer_address == ("10.1.0.19", 7000)
    assert found.policy.max_lease_s == 10.0
    assert found.policy.lease_s < found.policy.max_lease_s
    assert found.revoke_s == 5.0


@pytest.mark.parametrize(
    ("old", "new", "findings"),
    [
        ("zone=suwon", "zone=", ["zone"]),
        ("8521", "x", ["line 4: listen.front"]),
        ("8523", "99999", ["line 5: listen.ready"]),
        ("=10000", "=soon", ["line 8: bounds.hold-max-ms"]),
        ("=10000", "=nan", ["line 8: bounds.hold-max-ms"]),
        ("7000,7015", "", ["port-range"]),
        ("zone=suwon\nip=10.1.0.19", "", ["zone", "ip"]),
    ],
)
def test_invalid_settings_are_reported_with_their_line(old, new, findings):
    """Guards against invalid settings that are accepted, or reported without name or line."""
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse_settings(_SETTINGS.replace(old, new))
    for finding in findings:
        assert finding in str(caught.value)


@pytest.mark.parametrize(("text", "factor"), [("", 3.0), ("2.5", 2.5), ("0", 1.0)])
def test_factor_of_runs_far_from_their_data(text, factor):
    """Guards against measured durations that are divided by a wrong factor, or by 0."""
    found = settings.parse_settings(f"{_SETTINGS}\nbounds.far-factor={text}\n")
    assert found.policy.far_factor == factor


def test_missing_settings_file():
    """Guards against an error that does not name the environment variable."""
    with pytest.raises(settings.SettingsError, match="LYCHEEGATE_BOOT"):
        settings.load_settings({"LYCHEEGATE_BOOT": "/does/not/exist"})


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"state": 1},
        {"service": None},
        {"capacity": "16"},
        {"labels": "a"},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:http"},
        {"born": "x"},
    ],
)
def test_invalid_registration_is_ignored(change):
    """Guards against use of a registry entry with a wrong type or an invalid value."""
    data = msgspec.json.encode({**_ENTRY, **change})
    with pytest.raises(exceptions.ProtocolError):
        workers.decode_registration("w", data)


@pytest.mark.parametrize("missing", ["service", "address", "zone", "state", "capacity", "labels"])
def test_incomplete_registration_is_ignored(missing):
    """Guards against use of a registry entry without one of the required fields."""
    entry = {name: value for name, value in _ENTRY.items() if name != missing}
    with pytest.raises(exceptions.ProtocolError):
        workers.decode_registration("w", msgspec.json.encode(entry))


def test_decode_registration():
    """Guards against a rack or capacity that is read from the wrong field."""
    found = workers.decode_registration("w", msgspec.json.encode(_ENTRY))
    assert found.rack == "r1-3"
    assert found.capacity == model.Resources(16000, 100, 8)
    assert found.born_ms == 17
    assert not found.draining


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b'"x"', b"{}"])
def test_malformed_registration_is_ignored(data):
    """Guards against a malformed entry that stops the processing of the registry feed."""
    with pytest.raises(exceptions.ProtocolError):
        workers.decode_registration("w", data)


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("5c0e7a21d94b36f8.0.1.17", model.TaskKey("5c0e7a21d94b36f8", 0, 1, 17)),
        ("5c0e7a21d94b36f8.0.1", None),
        ("5c0e7a21d94b36f8.0.1.x", None),
        ("", None),
    ],
)
def test_task_names_round_trip(name, expected):
    """Guards against names of other systems' tasks that are parsed as tasks of this scheduler."""
    assert workers.parse_task(name) == expected
    if expected:
        assert workers.format_task(expected) == name


class _Client:
    """HTTP client that returns the same outcome for all requests."""

    def __init__(self, outcome):
        self._outcome = outcome
        self.request = None

    def send(self, request):
        self.request = request
        future = workers.http.futures.Future()
        future.set_result(self._outcome)
        return future


def _respond(status, body=b"{}"):
    return workers.result.Success(workers.http.Response(status, (), body))


_ORDER = commands.StartRun("w", model.TaskKey("5c0e7a21d94b36f8", 0, 0, 1), 2, "spec", "cp")


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (_respond(200, b'{"clock-ms":5}'), workers.StartOutcome.STARTED),
        (_respond(409, b'{"reason":"fence"}'), workers.StartOutcome.FENCED),
        (_respond(409, b'{"reason":"old"}'), workers.StartOutcome.OLD_RUN),
        (_respond(409, b'{"reason":"late"}'), workers.StartOutcome.LATE),
        (_respond(409, b'{"reason":"room"}'), workers.StartOutcome.NO_ROOM),
        (_respond(409, b'{"reason":"new"}'), workers.StartOutcome.REJECTED),
        (_respond(400), workers.StartOutcome.REJECTED),
        (_respond(421), workers.StartOutcome.WRONG_INCARNATION),
        (_respond(429), workers.StartOutcome.UNHEALTHY),
        (_respond(503), workers.StartOutcome.UNHEALTHY),
        (
            workers.result.Failure(exceptions.OutcomeUnknownError("")),
            workers.StartOutcome.UNKNOWN,
        ),
        (workers.result.Failure(exceptions.UnavailableError("")), workers.StartOutcome.UNKNOWN),
    ],
)
def test_start_outcome_of_each_response(outcome, expected):
    """Guards against a lost response treated as a rejection, and a rejection treated as a start."""
    client = _Client(outcome)
    found = []
    workers.PlatformWorkers(client, lambda: 0.0).start("h:1", _ORDER, 7, 900, found.append)
    assert found[0].outcome is expected
    body = msgspec.json.decode(client.request.body)
    assert body["run-id"] == 2
    assert body["checkpoint"] == "cp"
    assert "X-Lycheegate-Expected-Instance: w" in client.request.headers


def test_decode_report():
    """Guards against ended and running runs that are read from the wrong columns."""
    body = msgspec.json.encode(
        {
            "clock-ms": 9,
            "born": 4,
            "running": [["5c0e7a21d94b36f8.0.1.17", 2, "cp", 41, 12.5]],
            "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "failed", ""]],
        }
    )
    found = []
    client = workers.PlatformWorkers(_Client(_respond(200, body)), lambda: 3.0)
    client.report("h:1", "w", 7, 57, 900, 1.0, found.append)
    report = found[0].unwrap()
    assert report.running[0].percent == 41
    assert report.running[0].checkpoint == "cp"
    assert report.ended[0].end is runs.End.FAILED
    assert report.ended[0].end_number == 58
    assert (report.clock_ms, report.born_ms) == (9, 4)


@pytest.mark.parametrize(
    ("outcome", "error"),
    [
        (_respond(409, b'{"reason":"fence"}'), exceptions.FencedError),
        (_respond(421), workers.WrongIncarnationError),
        (_respond(503), exceptions.UnavailableError),
        (_respond(200, b"x"), exceptions.ProtocolError),
        (_respond(200, b'{"ended":[[1,"a",1,"odd",""]]}'), exceptions.ProtocolError),
    ],
)
def test_report_errors(outcome, error):
    """Guards against a failed report that is treated as a report without runs."""
    found = []
    client = workers.PlatformWorkers(_Client(outcome), lambda: 3.0)
    client.report("h:1", "w", 7, 57, None, 0.0, found.append)
    assert isinstance(found[0].failure(), error)


def test_decode_configuration():
    """Guards against keys, guarantees or routes that are decoded incorrectly."""
    data = msgspec.json.encode(
        {
            "version": 7,
            "routes": [
                {
                    "name": "q",
                    "host": "h",
                    "path-prefix": "/p/",
                    "service": "s",
                    "priority": 0,
                    "max-attempts": 4,
                    "stretch": 1.5,
                    "target-duration-ms": 250,
                    "refuse-late": True,
                },
                {"name": "longer", "host": "h", "path-prefix": "/p/q/", "service": "s"},
            ],
            "services": [{"name": "s", "admission-check": True}],
            "tenants": [{"name": "t", "api-keys": ["k1"], "guaranteed": {"gpu": 32}}],
        }
    )
    found = configuration.decode_configuration(data)
    assert found.find_route("h", "/p/q/1").name == "longer"
    assert found.find_route("h", "/p/1").max_attempts == 4
    assert found.find_route("x", "/p/1") is None
    assert found.account_by_key == {"k1": "t"}
    assert found.accounts["t"].guaranteed_accelerators == 32
    assert found.accounts["t"].weight == 1.0
    assert found.services["s"].checks_admission
    assert [r.refuses_late for r in found.routes.values()] == [True, False]
    assert not found.findings


@pytest.mark.parametrize(
    ("weight", "expected"),
    [
        ("2.5", 2.5),
        ("3", 3.0),
        ("0", None),
        ("-1", None),
        ("1e400", None),
        ("null", None),
        ("true", None),
        ('"2"', None),
        ("[" * 500 + "]" * 500, None),
    ],
)
def test_wrong_weight_is_reported_and_does_not_reject_the_document(weight, expected):
    """Guards against one wrong weight that keeps all other changes from coming into force."""
    data = f'{{"version": 1, "tenants": [{{"name": "acme", "weight": {weight}}}, {{"name": "b"}}]}}'
    found = configuration.decode_configuration(data.encode())
    assert found.accounts["acme"].weight == (expected or 1.0)
    assert found.accounts["b"].weight == 1.0
    assert len(found.findings) == (expected is None)
    for finding in found.findings:
        assert "account acme: weight " in finding
        assert "is not a finite number above 0" in finding
        assert len(finding) < 200


@pytest.mark.parametrize(
    ("loss", "expected"), [("0.02", 0.02), ("1", 1.0), ("0", None), ("1.1", None), ('"x"', None)]
)
def test_wrong_limit_of_preemptions_is_reported(loss, expected):
    """Guards against a wrong limit that keeps all other changes from coming into force."""
    data = f'{{"version": 1, "services": [{{"name": "s", "preemption-loss": {loss}}}]}}'
    found = configuration.decode_configuration(data.encode())
    assert found.services["s"].preemption_loss_ratio == expected
    assert not found.divides_room
    expected_findings = (
        ()
        if expected
        else (
            f"service s: preemption-loss {loss} is not above 0 and at most 1.0; it is not limited",
        )
    )
    assert found.findings == expected_findings


@pytest.mark.parametrize("value", ['"true"', "1", "0", "null", "[]", "1.0", '"' + "x" * 500 + '"'])
def test_wrong_value_of_refuse_late_is_reported(value):
    """Guards against refusals by a value that is not clear, and against a document lost for it."""
    route = '"name":"q7","host":"h","path-prefix":"/p/","service":"s"'
    data = f'{{"version":7,"routes":[{{{route},"refuse-late":{value}}}]}}'
    found = configuration.decode_configuration(data.encode())
    assert not found.routes["q7"].refuses_late
    assert found.findings == (
        f"queue q7: refuse-late {value[:60]} is not true or false; no job is refused as late",
    )


@pytest.mark.parametrize(
    ("value", "expected", "is_reported"),
    [("true", True, False), ("false", False, False), ('"yes"', False, True), ("1", False, True)],
)
def test_wrong_request_to_prove_workers_is_reported(value, expected, is_reported):
    """Guards against a wrong value that keeps all other changes from coming into force."""
    data = f'{{"version": 1, "services": [{{"name": "s", "prove-workers": {value}}}]}}'
    found = configuration.decode_configuration(data.encode())
    assert found.services["s"].limits_unproved_gangs is expected
    assert [f.startswith("service s: prove-workers ") for f in found.findings] == (
        [True] if is_reported else []
    )


def test_job_survives_encoding():
    """Guards against fields of a job that are lost when it is stored."""
    data = msgspec.json.encode(
        {
            "spec": "text",
            "repeats": 3,
            "start-at-ms": 5000,
            "interval-ms": 2000,
            "steps": [
                {"count": 4, "cpu": 500, "mem-mb": 256, "gpu": 2, "estimate-ms": 900},
                {
                    "count": 20,
                    "depends-on": [0],
                    "checkpointing": True,
                    "gang": True,
                    "same-rack": True,
                    "requirements": "a",
                    "affinity": "r1",
                    "anti-affinity": 2,
                    "may-miss": 1,
                },
            ],
        }
    )
    job = submissions.decode_job(data, "0" * 16, "q", "t", 12.5)
    route = model.Route("q", "h", "/p/", "s", 1, 4, 3.0, 1.0)
    record = progress.encode_accepted(progress.AcceptedJob(job, route), 49_152)
    assert progress.decode_accepted("0" * 16, record) == progress.AcceptedJob(job, route)
    assert job.steps[1].max_per_worker == 2
    assert job.steps[1].near_rack == "r1"
    assert job.compute_due_s(2) == 9.0


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        '{"spec":"x"}',
        '{"spec":"x","steps":[]}',
        '{"spec":"x","steps":[{"count":0}]}',
        '{"spec":"x","steps":[{"count":1,"depends-on":[0]}]}',
        '{"spec":"x","steps":[{"count":1,"depends-on":[-1]}]}',
    ],
)
def test_invalid_job_is_rejected(text):
    """Guards against acceptance of a job that can never be placed."""
    with pytest.raises(exceptions.ProtocolError):
        submissions.decode_job(text.encode(), "0" * 16, "q", "t", 12.5)


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"\x80", b"\x85\x02\x60\xf4\x00\x80", b"\x85\x03\x60\xf4\x00\x00"]
)
def test_malformed_progress_is_rejected(data):
    """Guards against a corrupt or newer record that is read as no progress."""
    with pytest.raises(exceptions.ProtocolError):
        progress.decode_status(data)
