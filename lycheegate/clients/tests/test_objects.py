"""Contract tests of the object store client."""

import random

import pytest
from returns import result

from lycheegate.clients import http, objects
from lycheegate.utils import exceptions
from standins import objects as objects_standin

_TIMEOUT_S = 1.0
_UNAVAILABLE = exceptions.UnavailableError
_UNKNOWN = exceptions.OutcomeUnknownError
_PROTOCOL = exceptions.ProtocolError


@pytest.fixture(name="standin")
def _standin():
    standin = objects_standin.ObjectsStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture(name="store")
def _store(standin):
    client = http.HttpClient()
    yield objects.ObjectStore(
        client, f"http://{standin.address}", random.Random(3), max_object_bytes=1000
    )
    client.close()


def test_put_get_delete(store):
    """Guards against altered content and confused keys."""
    data = bytes(range(256))
    assert store.put("answers/r 1.0", data) == result.Success(None)
    assert store.put("answers/r%1.0", b"") == result.Success(None)
    assert store.get("answers/r 1.0") == result.Success(data)
    assert store.get("answers/r%1.0") == result.Success(b"")
    assert store.delete("answers/r 1.0") == result.Success(None)
    assert store.delete("answers/r 1.0") == result.Success(None)
    assert store.get("answers/r 1.0") == result.Success(None)


@pytest.mark.parametrize(
    ("switches", "put", "get", "delete"),
    [
        ({"down": True}, _UNKNOWN, _UNAVAILABLE, _UNKNOWN),
        ({"refused": True}, _UNAVAILABLE, _UNAVAILABLE, _UNAVAILABLE),
        ({"stalled": True}, _UNKNOWN, _UNAVAILABLE, _UNKNOWN),
        ({"slow_s": 2.0}, _UNKNOWN, _UNAVAILABLE, _UNKNOWN),
        ({"slow_s": 0.05}, None, None, None),
        ({"lose_answers": 1}, None, None, None),
        ({"lose_requests": 1}, None, None, None),
        ({"cut_answers": 1}, None, None, None),
        ({"cut_answers": 99}, None, _UNAVAILABLE, None),
        ({"wrong_digests": 1}, None, _PROTOCOL, None),
    ],
)
@pytest.mark.parametrize("call", ["put", "get", "delete"])
def test_faults(standin, store, call, switches, put, get, delete):
    """Guards against a fault that is reported as a success or as the wrong kind of failure."""
    standin.objects["k"] = b"content"
    standin.faults.set(**switches)
    if call == "put":
        outcome, expected, value = store.put("k", b"content", _TIMEOUT_S), put, None
    elif call == "get":
        outcome, expected, value = store.get("k", _TIMEOUT_S), get, b"content"
    else:
        outcome, expected, value = store.delete("k", _TIMEOUT_S), delete, None
    if expected is None:
        assert outcome == result.Success(value)
    else:
        assert type(outcome.failure()) is expected


def test_size_limits(standin, store):
    """Guards against an object that fills the memory of the entry VM."""
    assert type(store.put("k", bytes(1001)).failure()) is _PROTOCOL
    assert "k" not in standin.objects
    standin.objects["k"] = bytes(1001)
    assert type(store.get("k").failure()) is _PROTOCOL
