"""Tests of the submissions that an entry VM repeats."""

import pytest

from lycheegate.core import commands
from lycheegate.entry import following, records
from lycheegate.entry.tests import test_owner
from lycheegate.model import requests
from lycheegate.peers import messages
from lycheegate.utils import clock as clock_module


class _World:
    """A registry with one partition, whose thread is replaced by ``sweep``."""

    def __init__(self):
        self.clock = clock_module.FakeClock(100.0)
        self.owner = ("a", 1)
        self.sent = []
        self.record = None
        self.registry = following.RequestFollower(
            lambda partition: self.owner,
            lambda vm_id, versioned, waits, repeated: self.sent.append((vm_id, waits, repeated)),
            lambda request_id, then: then(self.record),
            self.clock,
        )
        self.versioned = records.VersionedRecord(test_owner.make_record(), 1)

    def resubmit_due(self, seconds_s):
        self.clock.advance(seconds_s)
        self.registry.resubmit_due()

    def reply(self, state, vm_id="a", epoch=1):
        request_id = self.versioned.record.request_id
        reply = messages.SubmitReply(request_id, request_id, state, epoch)
        self.registry.handle_reply(vm_id, reply)


def test_repeat_until_taken():
    """Guards against a request that is lost with the message that hands it over."""
    world = _World()
    world.registry.follow(world.versioned, waits=True, is_repeated=False)
    world.resubmit_due(0.5)
    world.resubmit_due(1.0)
    assert world.sent == [("a", True, False), ("a", True, True)]
    world.reply("queued")
    world.resubmit_due(1.5)
    assert len(world.sent) == 2


@pytest.mark.parametrize("successor", [("b", 2), ("a", 3)])
def test_repeat_to_the_next_owner(successor):
    """Guards against a caller that waits for an owner which is no longer in office."""
    world = _World()
    world.registry.follow(world.versioned, waits=True, is_repeated=False)
    world.reply("queued")
    world.owner = successor
    world.resubmit_due(0.2)
    assert world.sent[-1] == (successor[0], True, True)


def test_wait_for_an_owner():
    """Guards against a request that is forgotten while its partition has no owner."""
    world = _World()
    world.owner = None
    world.registry.follow(world.versioned, waits=True, is_repeated=False)
    assert world.sent == []
    world.owner = ("b", 2)
    world.resubmit_due(0.2)
    assert world.sent == [("b", True, False)]


def test_handed_over_request_without_a_caller_is_forgotten():
    """Guards against memory that grows with each accepted request."""
    world = _World()
    world.registry.follow(world.versioned, waits=False, is_repeated=False)
    assert world.registry.count() == 1
    world.reply("queued")
    assert world.registry.count() == 0


def test_end_that_was_told_before():
    """Guards against a caller that waits although the message with the end was lost."""
    world = _World()
    followed = world.registry.follow(world.versioned, waits=True, is_repeated=False)
    end = records.make_end(commands.EndRequest("r", requests.End.CANCELLED), 1.0, None)
    ended = records.Record(**{**_fields(world.versioned.record), "end": end})
    world.record = records.VersionedRecord(ended, 2)
    world.reply("ended")
    assert followed.done.is_set()
    assert followed.settled.end == end


def _fields(record):
    return {name: getattr(record, name) for name in record.__struct_fields__}
