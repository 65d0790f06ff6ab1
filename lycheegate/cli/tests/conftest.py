"""Fixtures: an entry VM on loopback and a command line that sends requests to it."""

import types

import pytest
from cleo.io.outputs import buffered_output

from lycheegate.cli import main
from lycheegate.entry import operators
from lycheegate.release import store
from lycheegate.utils import clock
from standins import entry_services, serving


class Cli:
    """Command line that runs commands in this process."""

    def run(self, *arguments):
        """Runs a command; returns its exit code, standard output and standard error."""
        out, err = buffered_output.BufferedOutput(), buffered_output.BufferedOutput()
        exit_code = main.run(list(arguments), out, err)
        return exit_code, out.fetch(), err.fetch()


@pytest.fixture(scope="module")
def server():
    """A server on loopback; each test sets its own ``application``."""
    handle = types.SimpleNamespace(application=None)
    http_server = serving.Server(lambda *arguments: handle.application(*arguments))
    http_server.start()
    handle.url = f"http://{http_server.address}"
    yield handle
    http_server.stop()


@pytest.fixture
def entry_vm(server):
    """An entry VM without peers, served on loopback."""
    fake = entry_services.FakeServices()
    server.application = operators.OperatorApplication(
        fake,
        clock.FakeClock(),
        lambda *args, **options: store.accept(*args, sleep=lambda _: None, **options),
    )
    return fake


@pytest.fixture
def cli(server, entry_vm, monkeypatch):
    """A command line with the address and the token of an operator."""
    monkeypatch.setenv("LYCHEEGATE_SERVER", server.url)
    monkeypatch.setenv("LYCHEEGATE_TOKEN", entry_services.TOKEN)
    monkeypatch.delenv("LYCHEEGATE_TOKEN_FILE", raising=False)
    return Cli()
