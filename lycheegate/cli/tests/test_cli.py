"""Tests of the command line against the operators' interface on loopback."""

import datetime
import ipaddress
import json
import socket
import sys
import threading
import types

import pytest
from cheroot import wsgi
from cheroot.ssl import builtin
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from returns import result
from werkzeug import test as werkzeug_test

from lycheegate.cli import exits, main
from lycheegate.entry import operators, services
from lycheegate.keys import tokens
from lycheegate.utils import clock
from standins import entry_services

_NOTE = """\
base: {base}
note: First <info>release
client_accounts:
  added: [{{name: {account}, quota_accelerators: 16}}]
callers:
  added:
    - {{name: {caller}, client_account: {account}, brand_desk: "colour <b>desk",
       token_hash: "{token_hash}", classes: [preview]}}
"""


def _write_note(path, account="studio", base=0):
    token_hash = tokens.hash_token(tokens.make_token())
    caller = f"{account}-stylist"
    text = _NOTE.format(base=base, account=account, caller=caller, token_hash=token_hash)
    path.write_text(text)
    return str(path)


def test_callers_are_listed_with_account_and_desk(cli, tmp_path):
    """Guards against a list that does not show the client account and desk of each caller."""
    cli.run("release", "apply", _write_note(tmp_path / "a.yaml"))
    cli.run("release", "apply", _write_note(tmp_path / "b.yaml", "label", 1))
    exit_code, out, _ = cli.run("callers", "list")
    lines = [line.split() for line in out.splitlines()]
    assert exit_code == 0
    assert lines[0][:6] == ["client", "account", "brand", "or", "desk", "caller"]
    assert ["label", "colour", "<b>desk", "label-stylist", "preview", "never", "2"] in lines
    assert ["studio", "colour", "<b>desk", "studio-stylist", "preview", "never", "1"] in lines
    _, out, _ = cli.run("callers", "list", "--client-account", "label", "--json")
    assert [c["name"] for c in json.loads(out)["callers"]] == ["label-stylist"]
    exit_code, out, _ = cli.run("callers", "show", "studio-stylist")
    assert (exit_code, "colour <b>desk" in out) == (0, True)
    exit_code, _, err = cli.run("callers", "show", "nobody")
    assert (exit_code, "does not exist in release 2" in err) == (exits.Exit.REFUSED, True)


def test_note_is_checked_planned_and_applied_twice(cli, entry_vm, tmp_path):
    """Guards against a check or plan that changes something, and against incomplete output."""
    note = _write_note(tmp_path / "a.yaml")
    assert cli.run("release", "check", note)[0] == 0
    exit_code, out, _ = cli.run("release", "plan", note)
    assert (exit_code, "studio" in out, entry_vm.current_release.get().number) == (0, True, 0)
    exit_code, out, _ = cli.run("release", "apply", note)
    assert (exit_code, out.splitlines()[0]) == (0, "release 1 is accepted")
    exit_code, out, _ = cli.run("release", "apply", note)
    assert (exit_code, out) == (0, "release 1 has these changes already\n")
    _, out, _ = cli.run("release", "history")
    assert "First <info>release" in out
    _, out, _ = cli.run("release", "show", "1", "--json")
    assert json.loads(out)["client_accounts"][0]["name"] == "studio"


def test_findings_have_locations_and_exit_code_2(cli, entry_vm, tmp_path):
    """Guards against an invalid note that is applied or whose findings are not shown."""
    path = tmp_path / "wrong.yaml"
    path.write_text("base: 3\ncolour: red\nclient_accounts: {withdrawn: [nobody]}\n")
    expected = [(1, 7, "base_unknown"), (2, 1, "unknown_field"), (3, 31, "account_unknown")]
    for command in ("check", "plan", "apply"):
        exit_code, out, err = cli.run("release", command, str(path))
        locations = [
            line.split(": ")[0:3:2] for line in (out + err).splitlines() if ".yaml:" in line
        ]
        assert exit_code == exits.Exit.FINDINGS
        assert locations == [[f"{path}:{line}:{column}", code] for line, column, code in expected]
    assert entry_vm.table.write_count == 0


def test_outdated_note_shows_intermediate_changes(cli, tmp_path):
    """Guards against rejecting an outdated note without showing the conflicting changes."""
    cli.run("release", "apply", _write_note(tmp_path / "a.yaml"))
    exit_code, _, err = cli.run("release", "apply", _write_note(tmp_path / "b.yaml", "label"))
    assert exit_code == exits.Exit.LOST_RACE
    assert "release 1 by kim at 2026-01-01T00:00:00+00:00" in err
    assert "added client account studio: quota 16, weight 1" in err


@pytest.mark.parametrize(
    ("faults", "prepared", "expected"),
    [
        ({"down": True}, None, exits.Exit.UNREACHABLE),
        ({"lose_requests": 99}, None, exits.Exit.UNKNOWN),
        ({}, services.NoMajority(1, 2, ("entry-2",)), exits.Exit.UNREACHABLE),
    ],
)
def test_exit_code_of_apply_depends_on_the_outcome(
    cli, entry_vm, tmp_path, faults, prepared, expected
):
    """Guards against an exit code by which a script mistakes an unknown outcome for a refusal."""
    entry_vm.table.faults.set(**faults)
    if prepared is not None:
        entry_vm.prepare_result = result.Failure(prepared)
    note = _write_note(tmp_path / "a.yaml")
    assert cli.run("release", "apply", note)[0] == expected


@pytest.mark.parametrize(
    ("token", "arguments", "expected"),
    [
        (entry_services.EXPIRED_TOKEN, ["status"], exits.Exit.REFUSED),
        (entry_services.TOKEN + "x", ["status"], exits.Exit.REFUSED),
        ("", ["status"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["status", "--timeout", "nan"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["status", "--server", "entry-1"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["drain", "a", "--server", "http://a:b"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["drain", "a", "--ca-file", "/nonexistent"], exits.Exit.USAGE),
        (entry_services.TOKEN + "\nx", ["drain", "a"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["status", "--token-file", "/nonexistent"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["status", "--wrong"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["stauts"], exits.Exit.USAGE),
        (entry_services.TOKEN, ["release", "show", "9"], exits.Exit.REFUSED),
        (entry_services.TOKEN, ["release", "check", "/nonexistent"], exits.Exit.REFUSED),
        (entry_services.TOKEN, ["drain", "entry-9"], exits.Exit.REFUSED),
        (entry_services.TOKEN, ["jobs", "--limit", "0"], exits.Exit.REFUSED),
        (entry_services.TOKEN, ["report", "--from", "/nonexistent"], exits.Exit.REFUSED),
    ],
)
def test_exit_codes_of_refusals_and_wrong_usage(cli, monkeypatch, token, arguments, expected):
    """Guards against a failure that exits with 0 or shows the token."""
    monkeypatch.setenv("LYCHEEGATE_TOKEN", token)
    exit_code, out, err = cli.run(*arguments)
    assert (exit_code, out) == (expected, "")
    assert err
    assert entry_services.TOKEN not in err


@pytest.mark.parametrize(
    ("name", "expected"),
    [(["status"], exits.Exit.UNREACHABLE), (["drain", "entry-1"], exits.Exit.UNKNOWN)],
)
def test_exit_code_distinguishes_lost_answer_from_no_connection(cli, monkeypatch, name, expected):
    """Guards against reporting that nothing was applied when the connection was closed early."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        monkeypatch.setenv("LYCHEEGATE_SERVER", f"http://127.0.0.1:{server.getsockname()[1]}")

        def close_connection():
            connection, _ = server.accept()
            connection.recv(65536)
            connection.close()

        thread = threading.Thread(target=close_connection, daemon=True)
        thread.start()
        assert cli.run(*name)[0] == expected
        thread.join(10.0)
    assert cli.run(*name)[0] == exits.Exit.UNREACHABLE


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["accounts"], "capacity_lost"),
        (["workers", "--state", "lost"], "w1"),
        (["jobs", "--state", "running", "--limit", "1"], "1 of 2 jobs"),
        (["status"], "is in force at entry-1"),
        (["drain", "entry-1"], "entry-1 is draining"),
        (["report"], "queueing"),
        (["release", "show"], "brand or desk"),
    ],
)
def test_lists_are_tables_or_json(cli, tmp_path, arguments, text):
    """Guards against commands that fail on a regular answer, with or without ``--json``."""
    note = _write_note(tmp_path / "a.yaml")
    text_note = (tmp_path / "a.yaml").read_text()
    guarantee = "guarantees: {added: [{client_account: studio, name: hero, accelerators: 8}]}\n"
    (tmp_path / "a.yaml").write_text(text_note + guarantee)
    assert cli.run("release", "apply", note)[0] == 0
    exit_code, out, err = cli.run(*arguments)
    assert (exit_code, text in out) == (0, True)
    if arguments[0] == "jobs":
        assert err == "the answer is incomplete: no answer from entry-2\n"
    exit_code, out, _ = cli.run(*arguments, "--json")
    assert exit_code == 0
    assert isinstance(json.loads(out), dict)


def test_chart_is_drawn_from_a_saved_report(cli, tmp_path):
    """Guards against a report saved with ``--json`` that ``--from`` cannot read."""
    _, out, _ = cli.run("report", "--json")
    (tmp_path / "monday.json").write_text(out)
    arguments = ["report", "--from", str(tmp_path / "monday.json")]
    exit_code, out, _ = cli.run(*arguments)
    assert (exit_code, "preview" in out) == (0, True)
    assert cli.run(*arguments, "--picture", str(tmp_path / "monday.png"))[0] == 0
    assert (tmp_path / "monday.png").stat().st_size > 1000
    (tmp_path / "monday.json").write_text('{"histograms": {"a": 1}}')
    assert cli.run(*arguments)[0] == exits.Exit.REFUSED


def test_entry_does_not_start_with_invalid_settings(cli, tmp_path, monkeypatch):
    """Guards against a daemon that starts although its settings have findings."""
    started = []
    module = types.SimpleNamespace(run=lambda settings: started.append(settings) or 0)
    monkeypatch.setitem(sys.modules, "lycheegate.entry.daemon", module)
    monkeypatch.setattr(sys.modules["lycheegate.entry"], "daemon", module, raising=False)
    path = tmp_path / "entry.yaml"
    path.write_text(entry_services.SETTINGS + "colour: red\n")
    exit_code, _, err = cli.run("entry", "--settings", str(path))
    assert (exit_code, "unknown_field" in err, started) == (exits.Exit.FINDINGS, True, [])
    path.write_text(entry_services.SETTINGS)
    assert cli.run("entry", "--settings", str(path), "--check")[0] == 0
    assert started == []
    assert cli.run("entry", "--settings", str(path))[0] == 0
    assert started[0].vm_id == "entry-1"


def _write_certificate(directory) -> tuple[str, str]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "entry-1")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder(name, name, key.public_key(), x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    certificate_file, key_file = directory / "ca.pem", directory / "key.pem"
    certificate_file.write_bytes(certificate.public_bytes(pem))
    plain = serialization.NoEncryption()
    key_bytes = key.private_bytes(pem, serialization.PrivateFormat.PKCS8, plain)
    key_file.write_bytes(key_bytes)
    return str(certificate_file), str(key_file)


def test_server_is_verified_before_the_token_is_sent(entry_vm, cli, tmp_path, monkeypatch):
    """Guards against sending the token to a server that impersonates an entry VM."""
    certificate_file, key_file = _write_certificate(tmp_path)
    headers = []
    application = operators.OperatorApplication(entry_vm, clock.FakeClock())

    def record_header(environ, start_response):
        headers.append(environ.get("HTTP_AUTHORIZATION"))
        return application(environ, start_response)

    server = wsgi.Server(("127.0.0.1", 0), record_header, numthreads=2, shutdown_timeout=1)
    server.ssl_adapter = builtin.BuiltinSSLAdapter(certificate_file, key_file)
    server.error_log = lambda *_, **__: None
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        monkeypatch.setenv("LYCHEEGATE_SERVER", f"https://127.0.0.1:{server.bind_addr[1]}")
        exit_code, _, err = cli.run("status")
        assert (exit_code, "CERTIFICATE_VERIFY_FAILED" in err) == (exits.Exit.UNREACHABLE, True)
        assert headers == []
        assert cli.run("status", "--ca-file", certificate_file)[0] == 0
        assert headers == [f"Bearer {entry_services.TOKEN}"]
    finally:
        server.stop()
        thread.join(10.0)


def test_new_credentials_are_valid(cli):
    """Guards against a printed hash that does not belong to the printed token."""
    _, out, _ = cli.run("keys", "new", "--json")
    pair = json.loads(out)
    assert tokens.hash_token(pair["token"]) == pair["token_hash"]
    _, out, _ = cli.run("keys", "new", "--peer")
    assert len(out.strip()) >= 32


def test_control_characters_do_not_reach_the_terminal(cli, entry_vm):
    """Guards against free text by which one operator controls the terminal of another."""
    note = 'base: 0\nnote: "a\\x1b[2Jb"\nclient_accounts: {added: [{name: studio}]}\n'
    application = operators.OperatorApplication(entry_vm, clock.FakeClock())
    response = werkzeug_test.Client(application).post(
        operators.PREFIX + "release/apply",
        data=note,
        headers={"Authorization": f"Bearer {entry_services.TOKEN}"},
    )
    assert response.status_code == 200
    _, out, _ = cli.run("release", "history")
    assert "\x1b" not in out
    assert "[2Jb" in out


def test_every_command_has_help_with_an_example():
    """Guards against commands whose help shows no example."""
    for command in main.make_application().all().values():
        if command.name not in ("completions", "help", "list"):
            assert "Example" in command.help, command.name
            assert f"lycheegate {command.name}" in command.help
