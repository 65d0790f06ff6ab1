"""Calls that the store rejects as invalid."""

import pytest
from returns import result

from lycheegate.clients import http
from lycheegate.node import relay, storage
from lycheegate.platform import store
from lycheegate.utils import exceptions


@pytest.mark.parametrize(
    ("status", "error_type"),
    [
        (400, storage.RejectedError),
        (403, storage.RejectedError),
        (413, storage.RejectedError),
        (429, exceptions.UnavailableError),
        (503, exceptions.UnavailableError),
        (410, storage.HistoryLostError),
        (500, exceptions.ProtocolError),
        (302, exceptions.ProtocolError),
    ],
)
def test_error_of_each_status(status, error_type):
    """Guards against a call that is repeated unchanged although the store rejects it as invalid.

    A peer that relays the call passes the same error on, except that what is unknown to it stays
    unknown.
    """
    response = result.Success(http.Response(status, (), b""))
    error = store._decode(response, lambda answer, rows: rows).failure()
    assert type(error) is error_type
    relayed = relay.decode_outcome(relay.encode_outcome(result.Failure(error))).failure()
    expected = error_type if error_type is not exceptions.ProtocolError else None
    assert type(relayed) is (expected or exceptions.OutcomeUnknownError)
