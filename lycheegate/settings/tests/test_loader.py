"""Tests of the settings of entry VMs."""

import dataclasses

import msgspec
import pytest

from lycheegate.core import policy
from lycheegate.settings import loader, models
from lycheegate.utils import documents, findings

_HASH = "sha256$00112233aabbccdd$" + "0" * 64
_OTHER_HASH = "sha256$ffff2233aabbccdd$" + "0" * 64
_VALID = f"""\
vm_id: entry-1
region: kr
data_centre: suwon
callers_address: 10.0.0.1:8080
peers_address: 10.0.0.1:8081
peers:
  - {{vm_id: entry-2, address: "10.0.0.2:8081"}}
platform: {{table: "http://10.1.0.1:80", objects: "http://10.1.0.1:81", vms: "http://10.1.0.1:82"}}
peer_key: {"k" * 32}
operators:
  - {{name: kim, token_hash: "{_HASH}", expires_on: 2027-06-30}}
job_classes:
  preview: {{urgency: urgent, idempotent: true, preemptible: true, shape: {{accelerators: 1}}}}
  batch: {{idempotent: false}}
policy: {{completion_weight: 0.75}}
"""


def _list_findings(text: str) -> list[tuple[int, int, str]]:
    outcome = loader.parse_settings(text, "entry.yaml")
    return [(f.line, f.column, f.code) for f in outcome.failure()]


def test_settings_are_parsed_with_defaults():
    """Guards against settings that are lost, and defaults that differ from those of the policy."""
    settings = loader.parse_settings(_VALID, "entry.yaml").unwrap()
    assert settings.vm_id == "entry-1"
    assert settings.operators[0].expires_on.isoformat() == "2027-06-30"
    assert settings.job_classes["batch"].urgency is models.UrgencyName.NORMAL
    assert models.make_policy(settings.policy) == policy.PolicySettings(completion_weight=0.75)
    assert settings.limits == models.LimitSettings()


def test_policy_model_has_the_fields_and_defaults_of_the_policy():
    """Guards against a policy field that operators cannot set, or with two different defaults."""
    assert models.make_policy(models.PolicyModel()) == policy.PolicySettings()
    names = [field.name for field in dataclasses.fields(policy.PolicySettings)]
    assert names == [field.name for field in msgspec.structs.fields(models.PolicyModel)]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("vm_id: entry-1\n", "", [(1, 1, "missing_field")]),
        ("vm_id: entry-1", "vm_id: 17", [(1, 8, "wrong_type")]),
        ("vm_id: entry-1", "vm_id: Entry 1", [(1, 8, "out_of_range")]),
        ("vm_id: entry-1", "vm_id: *x", [(1, 8, "yaml_syntax")]),
        ("vm_id: entry-1\nregion: kr", "vm_id: &x entry-1\nregion: *x", [(1, 8, "alias")]),
        ("region: kr", "region: kr\nregion: jp", [(3, 1, "duplicate_field")]),
        ("region: kr", "region: kr\ncolour: red", [(3, 1, "unknown_field")]),
        ("region: kr", "region: kr\n17: red", [(3, 1, "wrong_type")]),
        ("region: kr", "region: [kr]", [(2, 9, "wrong_type")]),
        ("region: kr", "region: k\x01", [(2, 10, "encoding")]),
        ("10.0.0.1:8080", "host:8080", [(4, 18, "out_of_range")]),
        ("10.0.0.1:8080", "10.0.0.256:8080", [(4, 18, "out_of_range")]),
        ("10.0.0.1:8080", '"[::::]:8080"', [(4, 18, "out_of_range")]),
        ("10.0.0.1:8080", "10.0.0.1:65536", [(4, 18, "out_of_range")]),
        ("10.0.0.1:8081", "10.0.0.1:8080", [(5, 16, "duplicate")]),
        ("10.0.0.2:8081", "10.0.0.2:0", [(7, 31, "out_of_range")]),
        (
            "peers:\n",
            'peers:\n  - {vm_id: entry-2, address: "10.0.0.3:1"}\n',
            [(8, 13, "duplicate")],
        ),
        (
            "peers:\n",
            'peers:\n  - {address: "10.0.0.3:1"}\n  - 7\n',
            [(7, 5, "missing_field"), (8, 5, "wrong_type")],
        ),
        ("http://10.1.0.1:80", "ftp://10.1.0.1:80", [(8, 19, "out_of_range")]),
        ("peer_key: ", "peer_key_file: /nonexistent/", [(9, 16, "unreadable")]),
        ("peer_key: ", "peer_key_file: /x\npeer_key: ", [(9, 16, "peer_key")]),
        (f"peer_key: {'k' * 32}\n", "", [(1, 1, "peer_key")]),
        ("peer_key: " + "k" * 10, "peer_key: ", [(9, 11, "out_of_range")]),
        ("sha256$", "md5$", [(11, 29, "out_of_range")]),
        ("2027-06-30", "2027-06-31", [(11, 133, "wrong_type")]),
        (
            "operators:\n",
            f'operators:\n  - {{name: kim, token_hash: "{_OTHER_HASH}"}}\n',
            [(12, 12, "duplicate")],
        ),
        (
            "operators:\n",
            f'operators:\n  - {{name: lee, token_hash: "{_HASH}"}}\n',
            [(12, 29, "duplicate")],
        ),
        ("urgency: urgent", "urgency: asap", [(13, 22, "out_of_range")]),
        ("accelerators: 1", "accelerators: -1", [(13, 89, "out_of_range")]),
        ("accelerators: 1", "accelerators: 1.5", [(13, 89, "wrong_type")]),
        ("idempotent: true", "idempotent: false", [(13, 62, "not_idempotent")]),
        ("  batch: {", "  Batch: {", [(14, 3, "out_of_range")]),
        ("0.75", "1.01", [(15, 29, "out_of_range")]),
        ("0.75", ".nan", [(15, 29, "wrong_type")]),
        ("0.75", "true", [(15, 29, "wrong_type")]),
        (_VALID, "", [(1, 1, "empty")]),
        (_VALID, "- a", [(1, 1, "wrong_type")]),
        (_VALID, "a: [", [(2, 1, "yaml_syntax")]),
        (_VALID, "[" * 100000, [(1, 1001, "yaml_syntax")]),
    ],
)
def test_findings_have_their_location(old, new, expected):
    """Guards against invalid settings that are accepted, or reported at the wrong location."""
    assert old in _VALID
    assert _list_findings(_VALID.replace(old, new, 1)) == expected


def test_all_findings_are_reported_together():
    """Guards against reports of only the first error, which require one start for each error."""
    text = (
        _VALID.replace("vm_id: entry-1\n", "")
        .replace("10.0.0.1:8080", "10.0.0.999:80")
        .replace("idempotent: true", "idempotent: false")
        .replace("policy:", "polizy: {}\npolicy:")
        .replace("0.75", "much")
    )
    assert [code for _, _, code in _list_findings(text)] == [
        "missing_field",
        "out_of_range",
        "not_idempotent",
        "unknown_field",
        "wrong_type",
    ]


def test_findings_state_allowed_values_and_contain_no_secrets():
    """Guards against findings without allowed values, and against secrets in logs."""
    text = _VALID.replace("k" * 32, "hunter2").replace("urgent,", "asap,")
    found = findings.format_findings(loader.parse_settings(text, "entry.yaml").failure())
    assert found == (
        "entry.yaml:9:11: error: out_of_range: the value is not allowed "
        "(allowed: text, at least 32 characters)\n"
        "entry.yaml:13:22: error: out_of_range: 'asap' is not allowed "
        "(allowed: urgent, normal, batch)"
    )


def test_peer_key_is_read_from_its_file(tmp_path):
    """Guards against a key that includes a line break of its file, and against short keys."""
    key_file = tmp_path / "key"
    text = _VALID.replace(f"peer_key: {'k' * 32}", f"peer_key_file: {key_file}")
    key_file.write_text("k" * 40 + "\n")
    assert loader.parse_settings(text, "entry.yaml").unwrap().peer_key == "k" * 40
    key_file.write_text("short\n")
    assert _list_findings(text) == [(9, 16, "out_of_range")]
    key_file.write_text("k" * 40 + "\n" + "short\n")
    assert _list_findings(text) == [(9, 16, "out_of_range")]
    path = tmp_path / "entry.yaml"
    path.write_bytes(b"vm_id: entry-1\nregion: \xff\n")
    assert [(f.line, f.column, f.code) for f in loader.load_settings(path).failure()] == [
        (2, 9, "encoding")
    ]
    missing = loader.load_settings(tmp_path / "absent.yaml").failure()
    assert [finding.code for finding in missing] == ["unreadable"]


def test_every_setting_is_described():
    """Guards against settings without a description in the table for operators."""
    rows = {row.name: row for row in loader.list_settings()}
    assert all(row.description for row in rows.values())
    assert rows["limits.max_body_bytes"].unit == "bytes"
    assert rows["policy.max_bypass_s"].allowed == "number, 0 to 86400"
    assert rows["job_classes.<name>.idempotent"].default == "required"
    assert len(rows) > 50


def test_large_documents_are_rejected_before_parsing(monkeypatch):
    """Guards against unbounded time and memory for large input."""
    monkeypatch.setattr(documents, "_MAX_BYTES", 10)
    assert _list_findings(_VALID) == [(1, 1, "too_large")]
