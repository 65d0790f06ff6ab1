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

__all__ = ["Answer", "Connection", "Problem", "call", "read_connection"]

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
    """Where and how to reach an entry VM; ``token`` is not shown in tracebacks."""

    server: str
    token: str = dataclasses.field(repr=False)
    ca_file: str | None = None
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer of an entry VM; ``exit_code`` is 0 for status 200."""

    body: dict[str, Any]
    exit_code: exits.Exit


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """No answer was received."""

    message: str
    exit_code: exits.Exit


def read_connection(
    server: str | None, token_file: str | None, ca_file: str | None, timeout_s: float
) -> result.Result[Connection, Problem]:
    """Returns the connection from options and environment variables.

    The token is never an option, because other users of a machine can read command lines.
    """
    server = server or os.environ.get("LYCHEEGATE_SERVER")
    token_file = token_file or os.environ.get("LYCHEEGATE_TOKEN_FILE")
    token = os.environ.get("LYCHEEGATE_TOKEN", "")
    if not server:
        return _fail("give --server or set LYCHEEGATE_SERVER")
    if not _is_url(server):
        return _fail(f"{server!r} is no URL with http or https")
    if token_file:
        try:
            token = pathlib.Path(token_file).read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not ASCII text"
            return _fail(f"cannot read {token_file}: {reason}")
    if not token.strip():
        return _fail("give --token-file or set LYCHEEGATE_TOKEN_FILE or LYCHEEGATE_TOKEN")
    if not token.isascii() or len(token.split()) != 1:
        return _fail("the token has characters that no token has")
    return result.Success(Connection(server.rstrip("/"), token.strip(), ca_file, timeout_s))


def call(
    connection: Connection,
    method: str,
    name: str,
    body: bytes | None = None,
    parameters: Mapping[str, str] | None = None,
) -> result.Result[Answer, Problem]:
    """Sends one request; it is never repeated.

    Returns:
        The answer, whatever its status, or the problem. A lost answer to a request that may have
        changed something has the exit code ``UNKNOWN``.
    """
    url = f"{connection.server}{_PREFIX}{name}"
    if parameters:
        url += f"?{urllib.parse.urlencode(parameters)}"
    headers = {"Authorization": f"Bearer {connection.token}"}
    if body is not None:
        headers["Content-Type"] = "application/yaml"
    request = urllib.request.Request(url, body, headers, method=method)
    lost = exits.Exit.UNKNOWN if name in ("release/apply", "drain") else exits.Exit.UNREACHABLE
    try:
        opener = _make_opener(connection)
    except OSError as error:
        message = f"cannot use {connection.ca_file}: {error.strerror or error}"
        return result.Failure(Problem(message, exits.Exit.USAGE))
    try:
        with opener.open(request, timeout=connection.timeout_s) as response:
            return result.Success(_read_answer(response.read(_MAX_ANSWER_BYTES), 200))
    except urllib.error.HTTPError as error:
        # An answer of another status; the method of the opener raises it.
        with error:
            return _read_refusal(error, lost)
    except urllib.error.URLError as error:
        reason = f"cannot reach {connection.server}: {error.reason}"
        return result.Failure(Problem(reason, exits.Exit.UNREACHABLE))
    except (OSError, http.client.HTTPException) as error:
        detail = str(error) or type(error).__name__
        return result.Failure(Problem(f"no answer from {connection.server}: {detail}", lost))
    except ValueError:
        return result.Failure(Problem(f"{connection.server} did not answer with JSON", lost))


def _is_url(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _make_opener(connection: Connection) -> urllib.request.OpenerDirector:
    context = ssl.create_default_context(cafile=connection.ca_file)
    # No proxies and no redirects: the token goes to the named server only.
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
    error: urllib.error.HTTPError, lost: exits.Exit
) -> result.Result[Answer, Problem]:
    try:
        return result.Success(_read_answer(error.read(_MAX_ANSWER_BYTES), error.code))
    except (OSError, http.client.HTTPException):
        return result.Failure(Problem("the answer was cut", lost))
    except ValueError:
        exit_code = _EXIT_BY_STATUS.get(error.code, exits.Exit.REFUSED)
        return result.Failure(Problem(f"status {error.code} without JSON", exit_code))


def _read_answer(data: bytes, status: int) -> Answer:
    body = json.loads(data)
    if not isinstance(body, dict):
        raise ValueError("not a JSON object")
    if status == 200:
        return Answer(body, exits.Exit.OK)
    return Answer(body, _EXIT_BY_STATUS.get(status, exits.Exit.REFUSED))


def _fail(message: str) -> result.Result[Connection, Problem]:
    return result.Failure(Problem(message, exits.Exit.USAGE))
