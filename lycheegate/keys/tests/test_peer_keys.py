"""Tests of the challenge between entry VMs."""

import pytest

from lycheegate.keys import peers

_OLD, _NEW = "o" * 32, "n" * 32
_NONCES = (b"d" * peers.NONCE_BYTES, b"l" * peers.NONCE_BYTES)
_GOOD = (peers.Role.DIALLER, "entry-1", "entry-2", *_NONCES)


@pytest.mark.parametrize(
    ("statement", "accepted"),
    [
        (_GOOD, True),
        ((peers.Role.LISTENER, *_GOOD[1:]), False),
        ((peers.Role.DIALLER, "entry-2", "entry-1", *_NONCES), False),
        ((peers.Role.DIALLER, "entry-1e", "ntry-2", *_NONCES), False),
        ((peers.Role.DIALLER, "entry-1", "entry-2", _NONCES[1], _NONCES[0]), False),
        ((peers.Role.DIALLER, "entry-1", "entry-2", _NONCES[0], b"x" * 32), False),
        ((peers.Role.DIALLER, "entry-1", "entry-2", b"", _NONCES[1]), False),
    ],
)
def test_a_proof_holds_for_one_connection_and_one_side_only(statement, accepted):
    """Guards against proofs that are reflected, replayed or used by another VM."""
    keys = peers.PeerKeys(_OLD)
    assert keys.verify_proof(keys.make_proof(*_GOOD), *statement) is accepted


def test_a_proof_over_a_short_nonce_is_refused():
    """Guards against a peer that makes the challenge guessable."""
    keys = peers.PeerKeys(_OLD)
    statement = (peers.Role.DIALLER, "entry-1", "entry-2", b"", _NONCES[1])
    assert not keys.verify_proof(keys.make_proof(*statement), *statement)


@pytest.mark.parametrize(
    ("maker", "verifier", "accepted"),
    [
        (_OLD, _OLD, True),
        (_OLD, f"{_OLD}\n{_NEW}\n", True),
        (f"{_OLD} {_NEW}", f"{_NEW} {_OLD}", True),
        (f"{_NEW} {_OLD}", f"{_OLD} {_NEW}", True),
        (_NEW, f"{_NEW} {_OLD}", True),
        (_OLD, _NEW, False),
    ],
)
def test_each_step_of_a_rotation_is_accepted(maker, verifier, accepted):
    """Guards against a key rotation during which entry VMs lose each other."""
    proof = peers.PeerKeys(maker).make_proof(*_GOOD)
    assert peers.PeerKeys(verifier).verify_proof(proof, *_GOOD) is accepted


def test_keys_are_required_and_never_shown():
    """Guards against running with an empty key, and against keys in tracebacks."""
    with pytest.raises(ValueError, match="no key"):
        peers.PeerKeys(" \n")
    assert _OLD not in repr(peers.PeerKeys(_OLD))
    assert peers.make_nonce() != peers.make_nonce()
