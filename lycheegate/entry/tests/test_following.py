"""Tests of the submission of requests to partition owners, and of its repetition."""

import pytest

from lycheegate.core import commands
from lycheegate.entry import following, records
from lycheegate.entry.tests import test_owner
from lycheegate.model import requests
from lycheegate.peers import messages
from lycheegate.utils import clock as clock_module


class _FollowerHarness:
    """Follower of requests to one partition; ``resubmit_due`` stands in for its thread."""

    def __init__(self):
        self.clock = clock_module.FakeClock(100.0)
        self.owner = ("a", 1)
        self.sent = []
        self.record = None
        self.follower = following.RequestFollower(
            lambda partition: self.owner,
            lambda vm_id, versioned, waits, repeated: self.sent.append((vm_id, waits, repeated)),
            lambda request_id, callback: callback(self.record),
            self.clock,
        )
        self.versioned = records.VersionedRecord(test_owner.make_record(), 1)

    def resubmit_due(self, seconds_s):
        self.clock.advance(seconds_s)
        self.follower.resubmit_due()

    def reply(self, state, vm_id="a", epoch=1):
        request_id = self.versioned.record.request_id
        reply = messages.SubmitReply(request_id, request_id, state, epoch)
        self.follower.handle_reply(vm_id, reply)


def test_submission_is_repeated_until_accepted():
    """Guards against a request that is lost with the message that submits it."""
    harness = _FollowerHarness()
    harness.follower.follow(harness.versioned, waits=True, is_repeated=False)
    harness.resubmit_due(0.5)
    harness.resubmit_due(1.0)
    assert harness.sent == [("a", True, False), ("a", True, True)]
    harness.reply("queued")
    harness.resubmit_due(1.5)
    assert len(harness.sent) == 2


@pytest.mark.parametrize("successor", [("b", 2), ("a", 3)])
def test_submission_is_repeated_to_the_next_owner(successor):
    """Guards against a caller that waits for an owner that has been replaced."""
    harness = _FollowerHarness()
    harness.follower.follow(harness.versioned, waits=True, is_repeated=False)
    harness.reply("queued")
    harness.owner = successor
    harness.resubmit_due(0.2)
    assert harness.sent[-1] == (successor[0], True, True)


def test_submission_waits_for_an_owner():
    """Guards against a request that is dropped while its partition has no owner."""
    harness = _FollowerHarness()
    harness.owner = None
    harness.follower.follow(harness.versioned, waits=True, is_repeated=False)
    assert harness.sent == []
    harness.owner = ("b", 2)
    harness.resubmit_due(0.2)
    assert harness.sent == [("b", True, False)]


def test_accepted_request_without_a_waiting_caller_is_dropped():
    """Guards against memory use that grows with each accepted request."""
    harness = _FollowerHarness()
    harness.follower.follow(harness.versioned, waits=False, is_repeated=False)
    assert harness.follower.count() == 1
    harness.reply("queued")
    assert harness.follower.count() == 0


def test_end_is_read_from_the_record_after_a_lost_message():
    """Guards against a caller that keeps waiting after the message with the end was lost."""
    harness = _FollowerHarness()
    followed = harness.follower.follow(harness.versioned, waits=True, is_repeated=False)
    end = records.make_end(commands.EndRequest("r", requests.End.CANCELLED), 1.0, None)
    ended = records.Record(**{**_fields(harness.versioned.record), "end": end})
    harness.record = records.VersionedRecord(ended, 2)
    harness.reply("ended")
    assert followed.done.is_set()
    assert followed.settled.end == end


def _fields(record):
    return {name: getattr(record, name) for name in record.__struct_fields__}
