"""Tests of the whole path from caller to worker, with one entry process."""

import uuid

from lycheegate.entry.tests import conftest


def _key():
    return uuid.uuid4().hex


def test_answer(single):
    """Guards against a request that is not answered with its own answer."""
    ended = conftest.make_caller(single).run(_key(), "preview", {"answer": "teal"})
    assert (ended.end, ended.outcome, ended.body) == ("answered", "ok", b"teal")
