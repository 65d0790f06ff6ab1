"""HTTP client of the operators' interface."""

import dataclasses
import http.client
import json
import os
import pathlib
import ssl
import urllib.error
import urllib.parse
import urllib.request
from collections.abc import Mapping
from typing import Any

from returns import result

from lycheegate.cli import exits

__all__ = ["Answer", "CallError", "Connection", "call", "read_connection", "read_key_connection"]

_PREFIX = "/v1/operator/"
_MAX_ANSWER_BYTES = 256 * 1024 * 1024
_EXIT_BY_STATUS = {
    409: exits.Exit.LOST_RACE,
    422: exits.Exit.FINDINGS,
    502: exits.Exit.UNREACHABLE,
    503: exits.Exit.UNREACHABLE,
    504: exits.Exit.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """Parameters for requests to an entry VM.

    Attributes:
        server: URL of an entry VM or the balancer.
        token: Token of the operator, which is excluded from ``repr``.
        ca_file: PEM file with the CA certificates that verify the server, or None for those of the
            system.
        timeout_s: Timeout of a request, in seconds.
    """

    server: str
    token: str = dataclasses.field(repr=False)
    ca_file: str | None = None
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer of an entry VM.

    Attributes:
        body: The JSON object in the answer.
        exit_code: Exit code for the status of the answer; ``OK`` for status 200.
    """

    body: dict[str, Any]
    exit_code: exits.Exit


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """Failure of a request that got no usable answer, or could not be sent.

    Attributes:
        message: Description of the failure.
        exit_code: Exit code of the command.
        is_malformed: Whether an answer arrived that is not a JSON object.
    """

    message: str
    exit_code: exits.Exit
    is_malformed: bool = False


def read_connection(
    server: str | None, token_file: str | None, ca_file: str | None, timeout_s: float
) -> result.Result[Connection, CallError]:
    """Returns the connection that options and environment variables describe.

    The token cannot be given as an option, because other users of a machine can read command lines.
    """
    server = server or os.environ.get("LYCHEEGATE_SERVER")
    token_file = token_file or os.environ.get("LYCHEEGATE_TOKEN_FILE")
    token = os.environ.get("LYCHEEGATE_TOKEN", "")
    if not server:
        return _make_usage_error("no server: give --server or set LYCHEEGATE_SERVER")
    if not token_file and not token.strip():
        return _make_usage_error(
            "no token: give --token-file or set LYCHEEGATE_TOKEN_FILE or LYCHEEGATE_TOKEN"
        )
    return _make_connection(server, token, token_file, ca_file, timeout_s)


def read_key_connection(
    server: str | None, key_file: str | None, ca_file: str | None, timeout_s: float
) -> result.Result[Connection, CallError]:
    """Returns the connection to the readiness address of a VM, with a caller's key or without one.

    Other variables than those of the operator's token are read, so that neither is sent to the
    address of the other.
    """
    server = server or os.environ.get("LYCHEEGATE_READY_SERVER")
    key_file = key_file or os.environ.get("LYCHEEGATE_KEY_FILE")
    key = os.environ.get("LYCHEEGATE_KEY", "")
    if not server:
        return _make_usage_error("no server: give --server or set LYCHEEGATE_READY_SERVER")
    return _make_connection(server, key, key_file, ca_file, timeout_s, "key", is_required=False)


def _make_connection(
    server: str,
    token: str,
    token_file: str | None,
    ca_file: str | None,
    timeout_s: float,
    kind: str = "token",
    is_required: bool = True,
) -> result.Result[Connection, CallError]:
    """Returns a connection after checks of its parameters.

    Args:
        server: URL of a server.
        token: Token, unless a file is given.
        token_file: File with the token, or None.
        ca_file: PEM file with the CA certificates, or None for those of the system.
        timeout_s: Timeout of a request, in seconds.
        kind: What the token is called in messages.
        is_required: Whether there must be a token.
    """
    if not _is_http_url(server):
        return _make_usage_error(f"server: expected an http or https URL, got {server!r}")
    if token_file:
        try:
            token = pathlib.Path(token_file).read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not ASCII text"
            return _make_usage_error(f"cannot read {kind} file {token_file}: {reason}")
    words = len(token.split())
    if not words and (is_required or token_file):
        return _make_usage_error(f"no {kind}: {token_file} is empty")
    if not token.isascii() or words > 1:
        return _make_usage_error(f"the {kind} contains white space or non-ASCII characters")
    return result.Success(Connection(server.rstrip("/"), token.strip(), ca_file, timeout_s))


def call(
    connection: Connection,
    method: str,
    path: str,
    body: bytes | None = None,
    parameters: Mapping[str, str] | None = None,
    prefix: str = _PREFIX,
    content_type: str = "application/yaml",
) -> result.Result[Answer, CallError]:
    """Sends a request once, without retries.

    Args:
        connection: Server, token and timeout.
        method: HTTP method.
        path: Path of the request below ``prefix``.
        body: Body of the request, such as a release note in YAML.
        parameters: Query parameters.
        prefix: Prefix of the path; that of the operators' interface by default.
        content_type: Type of the body.

    Returns:
        The answer, whatever its status, or the error. If a request that may have changed something
        gets no usable answer, the exit code is ``UNKNOWN``.
    """
    url = f"{connection.server}{prefix}{path}"
    if parameters:
        url += f"?{urllib.parse.urlencode(parameters)}"
    headers = {"Authorization": f"Bearer {connection.token}"}
    if body is not None:
        headers["Content-Type"] = content_type
    request = urllib.request.Request(url, body, headers, method=method)
    lost_exit_code = (
        exits.Exit.UNKNOWN if path in ("release/apply", "drain") else exits.Exit.UNREACHABLE
    )
    try:
        opener = _make_opener(connection)
    except OSError as error:
        message = f"cannot load CA file {connection.ca_file}: {error.strerror or error}"
        return result.Failure(CallError(message, exits.Exit.USAGE))
    try:
        with opener.open(request, timeout=connection.timeout_s) as response:
            return result.Success(_read_answer(response.read(_MAX_ANSWER_BYTES), 200))
    except urllib.error.HTTPError as error:
        # The opener raises answers with an error status as exceptions.
        with error:
            return _read_refusal(error, lost_exit_code)
    except urllib.error.URLError as error:
        reason = f"cannot reach {connection.server}: {error.reason}"
        return result.Failure(CallError(reason, exits.Exit.UNREACHABLE))
    except (OSError, http.client.HTTPException) as error:
        detail = str(error) or type(error).__name__
        return result.Failure(
            CallError(
                f"no answer from {connection.server} (timeout {connection.timeout_s:g} s): "
                f"{detail}",
                lost_exit_code,
            )
        )
    except ValueError:
        return result.Failure(
            CallError(
                f"the answer of {connection.server} is not a JSON object", lost_exit_code, True
            )
        )


def _is_http_url(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _make_opener(connection: Connection) -> urllib.request.OpenerDirector:
    context = ssl.create_default_context(cafile=connection.ca_file)
    # Without handlers for proxies and redirects, the token is sent only to the given server.
    opener = urllib.request.OpenerDirector()
    for handler in (
        urllib.request.HTTPHandler(),
        urllib.request.HTTPSHandler(context=context),
        urllib.request.HTTPDefaultErrorHandler(),
        urllib.request.HTTPErrorProcessor(),
    ):
        opener.add_handler(handler)
    return opener


def _read_refusal(
    error: urllib.error.HTTPError, lost_exit_code: exits.Exit
) -> result.Result[Answer, CallError]:
    try:
        return result.Success(_read_answer(error.read(_MAX_ANSWER_BYTES), error.code))
    except (OSError, http.client.HTTPException):
        return result.Failure(
            CallError(f"the answer with status {error.code} was truncated", lost_exit_code)
        )
    except ValueError:
        exit_code = _EXIT_BY_STATUS.get(error.code, exits.Exit.REFUSED)
        return result.Failure(
            CallError(f"the answer with status {error.code} is not a JSON object", exit_code, True)
        )


def _read_answer(data: bytes, status: int) -> Answer:
    body = json.loads(data)
    if not isinstance(body, dict):
        raise ValueError("not a JSON object")
    if status == 200:
        return Answer(body, exits.Exit.OK)
    return Answer(body, _EXIT_BY_STATUS.get(status, exits.Exit.REFUSED))


def _make_usage_error(message: str) -> result.Result[Connection, CallError]:
    return result.Failure(CallError(message, exits.Exit.USAGE))
