"""Tests of bearer tokens."""

import datetime

import pytest
from returns import result

from lycheegate.keys import tokens

_TOKEN = "lyg_00112233aabbccdd_" + "x" * 43
_OTHER = "lyg_00112233aabbccdd_" + "y" * 43
_UNKNOWN = "lyg_ffffffffffffffff_" + "x" * 43
_TODAY = datetime.date(2026, 6, 30)


@pytest.mark.parametrize(
    ("header", "expires_on", "expected"),
    [
        (f"Bearer {_TOKEN}", None, result.Success("retoucher-1")),
        (f"bearer {_TOKEN}", "2026-06-30", result.Success("retoucher-1")),
        (f"Bearer {_TOKEN}", "2026-06-29", result.Failure(tokens.TokenProblem.EXPIRED)),
        (f"Bearer {_OTHER}", None, result.Failure(tokens.TokenProblem.WRONG)),
        (f"Bearer {_OTHER}", "2026-06-29", result.Failure(tokens.TokenProblem.WRONG)),
        (f"Bearer {_UNKNOWN}", None, result.Failure(tokens.TokenProblem.WRONG)),
        ("Bearer secret", None, result.Failure(tokens.TokenProblem.WRONG)),
        ("Bearer l\u00fcg_\udc80", None, result.Failure(tokens.TokenProblem.WRONG)),
        (f"Basic {_TOKEN}", None, result.Failure(tokens.TokenProblem.MISSING)),
        (_TOKEN, None, result.Failure(tokens.TokenProblem.MISSING)),
        ("Bearer ", None, result.Failure(tokens.TokenProblem.MISSING)),
        ("", None, result.Failure(tokens.TokenProblem.MISSING)),
        (None, None, result.Failure(tokens.TokenProblem.MISSING)),
    ],
)
def test_only_a_matching_unexpired_token_is_accepted(header, expires_on, expected):
    """Guards against acceptance of a wrong, missing or expired token."""
    principal = tokens.Principal("retoucher-1", tokens.hash_token(_TOKEN), expires_on)
    assert tokens.TokenIndex([principal]).authenticate(header, _TODAY) == expected


def test_new_tokens_differ_and_verify_only_against_their_own_hash():
    """Guards against repeated tokens, and against a hash that matches another token."""
    first, second = tokens.make_token(), tokens.make_token()
    assert first != second
    assert tokens.verify_token(first, tokens.hash_token(first), None, _TODAY) == (
        result.Success(None)
    )
    assert tokens.verify_token(first, tokens.hash_token(second), None, _TODAY) == (
        result.Failure(tokens.TokenProblem.WRONG)
    )
    assert first.split("_", 2)[2] not in tokens.hash_token(first)


def test_digests_are_compared_in_constant_time(monkeypatch):
    """Guards against a plain comparison, whose duration reveals how much of a digest matches."""
    compared = []
    compare = tokens.hmac.compare_digest
    monkeypatch.setattr(
        tokens.hmac, "compare_digest", lambda a, b: compared.append((a, b)) or compare(a, b)
    )
    index = tokens.TokenIndex([tokens.Principal("a", tokens.hash_token(_TOKEN))])
    index.find(_OTHER, _TODAY)
    index.find(_UNKNOWN, _TODAY)
    assert [len(a) for a, _ in compared] == [64, 64]


@pytest.mark.parametrize("text", ["", "lyg_", _TOKEN + "\n", _TOKEN[:-1], _TOKEN.upper()])
def test_malformed_tokens_are_not_hashed(text):
    """Guards against the hash of a truncated or mistyped token in a release note."""
    with pytest.raises(ValueError):
        tokens.hash_token(text)
