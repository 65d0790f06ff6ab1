"""Tests of the mutual authentication of entry VMs."""

import pytest

from lycheegate.keys import peers

_OLD, _NEW = "o" * 32, "n" * 32
_NONCES = (b"d" * peers.NONCE_BYTES, b"l" * peers.NONCE_BYTES)
_VALID_ARGUMENTS = (peers.Role.DIALLER, "entry-1", "entry-2", *_NONCES)


@pytest.mark.parametrize(
    ("proof_arguments", "accepted"),
    [
        (_VALID_ARGUMENTS, True),
        ((peers.Role.LISTENER, *_VALID_ARGUMENTS[1:]), False),
        ((peers.Role.DIALLER, "entry-2", "entry-1", *_NONCES), False),
        ((peers.Role.DIALLER, "entry-1e", "ntry-2", *_NONCES), False),
        ((peers.Role.DIALLER, "entry-1", "entry-2", _NONCES[1], _NONCES[0]), False),
        ((peers.Role.DIALLER, "entry-1", "entry-2", _NONCES[0], b"x" * 32), False),
        ((peers.Role.DIALLER, "entry-1", "entry-2", b"", _NONCES[1]), False),
    ],
)
def test_proof_is_valid_for_one_connection_and_one_side_only(proof_arguments, accepted):
    """Guards against acceptance of proofs that are reflected, replayed or sent by another VM."""
    keys = peers.PeerKeys(_OLD)
    assert keys.verify_proof(keys.make_proof(*_VALID_ARGUMENTS), *proof_arguments) is accepted


def test_proof_with_a_short_nonce_is_rejected():
    """Guards against a peer that makes the challenge predictable."""
    keys = peers.PeerKeys(_OLD)
    proof_arguments = (peers.Role.DIALLER, "entry-1", "entry-2", b"", _NONCES[1])
    assert not keys.verify_proof(keys.make_proof(*proof_arguments), *proof_arguments)


@pytest.mark.parametrize(
    ("prover_keys", "verifier_keys", "accepted"),
    [
        (_OLD, _OLD, True),
        (_OLD, f"{_OLD}\n{_NEW}\n", True),
        (f"{_OLD} {_NEW}", f"{_NEW} {_OLD}", True),
        (f"{_NEW} {_OLD}", f"{_OLD} {_NEW}", True),
        (_NEW, f"{_NEW} {_OLD}", True),
        (_OLD, _NEW, False),
    ],
)
def test_proofs_are_accepted_during_each_step_of_a_key_rotation(
    prover_keys, verifier_keys, accepted
):
    """Guards against a key rotation during which entry VMs reject each other."""
    proof = peers.PeerKeys(prover_keys).make_proof(*_VALID_ARGUMENTS)
    assert peers.PeerKeys(verifier_keys).verify_proof(proof, *_VALID_ARGUMENTS) is accepted


def test_keys_are_required_and_never_displayed():
    """Guards against an empty key, and against keys in tracebacks."""
    with pytest.raises(ValueError, match="expected at least one peer key"):
        peers.PeerKeys(" \n")
    assert _OLD not in repr(peers.PeerKeys(_OLD))
    assert peers.make_nonce() != peers.make_nonce()
