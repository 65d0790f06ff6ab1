"""WSGI application that serves the HTTP interface of operators, below ``/v1/operator/``.

Every request needs the bearer token of an operator who is listed in the settings. Request bodies
are release notes in YAML, responses are JSON. A response with a status other than 200 has the
fields ``error`` and ``message``.
"""

import dataclasses
import secrets
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
import werkzeug
from returns import result
from werkzeug import exceptions as http_exceptions
from werkzeug import routing

from lycheegate.entry import services as services_module
from lycheegate.keys import tokens
from lycheegate.metrics import logs
from lycheegate.model import releases, resources
from lycheegate.release import capacity, checks, notes, plans, store
from lycheegate.utils import clock as clock_module
from lycheegate.utils import documents, exceptions, findings

__all__ = ["PREFIX", "WRITE_WINDOW_S", "OperatorApplication"]

PREFIX = "/v1/operator/"
# Workers in these states are gone or about to go, so no guarantee may be placed on them.
_UNUSABLE_STATES = frozenset({"leaving", "lost"})
_MAX_JOBS = 1000
# A member drops its acknowledgement if it does not see the release in the table within 10 s. A
# write that is sent within 6 s and times out after 2 s has ended before that.
WRITE_WINDOW_S = 6.0
_log = logs.Log("operators")


class OperatorApplication:
    """WSGI application of the operators' interface; thread-safe."""

    def __init__(
        self,
        services: services_module.OperatorServices,
        clock: clock_module.Clock,
        accept: Callable[..., result.Result] = store.accept,
    ):
        """Creates the application from the operators and limits in the settings of the daemon.

        Args:
            services: The entry daemon.
            clock: Source of time for the expiry of tokens and for timestamps.
            accept: Function that writes a release; tests pass one that does not sleep.
        """
        self._services = services
        self._clock = clock
        self._accept = accept
        settings = services.get_settings()
        self._index = tokens.TokenIndex(
            tokens.Principal(o.name, o.token_hash, o.expires_on and o.expires_on.isoformat())
            for o in settings.operators
        )
        self._max_body_bytes = settings.limits.max_body_bytes
        self._slots = threading.BoundedSemaphore(settings.limits.operator_threads)
        self._handlers: dict[str, Callable[..., werkzeug.Response]] = {
            "release/check": self._check,
            "release/plan": self._plan,
            "release/apply": self._apply,
            "release/history": self._get_history,
            "release/show": self._get_release,
            "callers": self._list_callers,
            "accounts": self._list_accounts,
            "workers": self._list_workers,
            "jobs": self._list_jobs,
            "status": self._get_status,
            "histograms": self._get_histograms,
            "drain": self._drain,
        }
        posts = {"release/check", "release/plan", "release/apply", "drain"}
        self._routes = routing.Map(
            [
                routing.Rule(
                    PREFIX + name, endpoint=name, methods=["POST" if name in posts else "GET"]
                )
                for name in self._handlers
            ]
        )

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serves one request."""
        request = werkzeug.Request(environ)
        request.max_content_length = self._max_body_bytes
        with logs.bind_request(f"op-{secrets.token_hex(8)}"):
            if self._slots.acquire(blocking=False):
                try:
                    response = self._serve(request)
                finally:
                    self._slots.release()
            else:
                response = _make_error(503, "busy", "too many concurrent operator requests")
                response.headers["Retry-After"] = "1"
        return response(environ, start_response)

    def _serve(self, request: werkzeug.Request) -> werkzeug.Response:
        header = request.headers.get("Authorization")
        authenticated = self._index.authenticate(header, self._clock.now().date())
        if isinstance(authenticated, result.Failure):
            problem = authenticated.failure()
            _log.warning("operator_refused", problem=problem, path=request.path)
            response = _make_error(401, f"token_{problem}", f"the operator's token is {problem}")
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        operator = authenticated.unwrap()
        try:
            name, _ = self._routes.bind_to_environ(request.environ).match()
            return self._handlers[name](request, operator)
        except http_exceptions.HTTPException as error:
            code = error.code or 500
            response = _make_error(code, error.name.lower().replace(" ", "_"), error.description)
            if isinstance(error, http_exceptions.MethodNotAllowed) and error.valid_methods:
                response.headers["Allow"] = ", ".join(error.valid_methods)
            return response
        except exceptions.LycheegateError as error:
            _log.error("operator_request_failed", path=request.path, error=error)
            return _make_error(503, "unavailable", str(error))

    def _check(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        document, context = self._read_note(request, self._read_newest_release())
        note_findings = checks.check_note(document, context)
        return _make_json(
            {
                "ok": not findings.has_errors(note_findings),
                "checked_against": context.release.number,
                "findings": note_findings,
            }
        )

    def _plan(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        document, context = self._read_note(request, self._read_newest_release())
        note_findings = checks.check_note(document, context)
        if findings.has_errors(note_findings):
            return _refuse_note(note_findings)
        plan = plans.make_plan(document.value, context)
        return _make_json(
            {
                "number": plan.release.number,
                "changes": plan.changes,
                "moves": plan.moves,
                "findings": note_findings,
            }
        )

    def _apply(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        table = self._services.get_table()
        newest = store.read_newest(table)
        if isinstance(newest, result.Failure):
            return _refuse_unavailable(newest.failure())
        document, context = self._read_note(request, newest.unwrap())
        note = document.value
        is_readable = not findings.has_errors(document.collected)
        if is_readable and note.base < newest.unwrap().number:
            digest = notes.compute_digest(note)
            return self._make_apply_response(
                store.resolve_outdated_base(table, note.base, digest), operator
            )
        note_findings = checks.check_note(document, context)
        if findings.has_errors(note_findings):
            return _refuse_note(note_findings)
        plan = plans.make_plan(note, context)
        release = dataclasses.replace(
            plan.release,
            operator=operator,
            accepted_at=self._clock.now().isoformat(timespec="seconds"),
        )
        plan = dataclasses.replace(plan, release=release)
        deadline_s = self._clock.monotonic_s() + WRITE_WINDOW_S
        prepared = self._services.prepare_release(release)
        if isinstance(prepared, result.Failure):
            shortfall = prepared.failure()
            _log.warning(
                "release_not_prepared",
                number=release.number,
                operator=operator,
                acknowledged=shortfall.acknowledged,
                needed=shortfall.needed,
                missing=shortfall.missing,
            )
            message = (
                f"{shortfall.acknowledged} entry VMs acknowledged release {release.number}, "
                f"{shortfall.needed} are needed; nothing was written"
            )
            return _make_error(503, "no_majority", message, missing=shortfall.missing)
        outcome = self._accept(
            table, plan, deadline_s=deadline_s, monotonic_s=self._clock.monotonic_s
        )
        return self._make_apply_response(outcome, operator, plan, note_findings)

    def _make_apply_response(
        self,
        outcome: result.Result[store.Accepted, Any],
        operator: str,
        plan: plans.Plan | None = None,
        note_findings: Iterable[findings.Finding] = (),
    ) -> werkzeug.Response:
        match outcome:
            case result.Success(accepted):
                number = accepted.release.number
                self._services.announce_release(accepted.release)
                _log.info(
                    "release_accepted", number=number, operator=operator, already=accepted.already
                )
                changes = plan.changes if plan is not None and not accepted.already else ()
                return _make_json(
                    {
                        "number": number,
                        "already": accepted.already,
                        "changes": changes,
                        "findings": list(note_findings),
                    }
                )
            case result.Failure(store.Outdated() as outdated):
                _log.warning(
                    "release_outdated",
                    operator=operator,
                    base=outdated.base,
                    newest=outdated.newest,
                )
                message = f"base {outdated.base} is no longer the newest release"
                between = [_make_summary_view(summary) for summary in outdated.between]
                return _make_error(
                    409, "base_outdated", message, newest=outdated.newest, between=between
                )
            case result.Failure(store.Unsettled() as unsettled):
                _log.error("release_unsettled", number=unsettled.number, operator=operator)
                message = (
                    f"it is unknown whether release {unsettled.number} was accepted; "
                    "applying the same note again is safe"
                )
                return _make_error(504, "unsettled", message, number=unsettled.number)
            case result.Failure(error):
                return _refuse_unavailable(error)

    def _get_history(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        limit = _read_number(request, "limit", 20, 1, store.MAX_HISTORY)
        history = store.read_history(self._services.get_table(), limit)
        if isinstance(history, result.Failure):
            return _refuse_unavailable(history.failure())
        return _make_json({"releases": [_make_summary_view(s) for s in history.unwrap()]})

    def _get_release(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        release = self._services.get_release()
        number = _read_number(request, "number", release.number, 0, 2**53)
        if number != release.number:
            read = store.read_release(self._services.get_table(), number)
            if isinstance(read, result.Failure):
                return _refuse_unavailable(read.failure())
            if read.unwrap() is None:
                message = f"release {number} does not exist, or its document has been deleted"
                return _make_error(404, "release_unknown", message)
            release = read.unwrap()
        return _make_json(
            {
                "number": release.number,
                "note": release.note,
                "operator": release.operator,
                "accepted_at": release.accepted_at,
                "client_accounts": list(release.client_accounts.values()),
                "guarantees": list(release.guarantees.values()),
                "callers": [_make_caller_view(caller) for caller in release.callers.values()],
            }
        )

    def _list_callers(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        release = self._services.get_release()
        callers = sorted(
            release.callers.values(), key=lambda c: (c.client_account, c.brand_desk, c.name)
        )
        rows = [_make_caller_view(caller) for caller in callers]
        rows = _filter_rows(rows, request, ("name", "client_account", "brand_desk"))
        return _make_json({"release": release.number, "callers": rows})

    def _list_accounts(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        release = self._services.get_release()
        view = self._services.list_usage()
        usage = {account.client_account: account for account in view.accounts}
        rows = [
            _make_account_view(release, account, usage.get(account.name))
            for account in sorted(release.client_accounts.values(), key=lambda a: a.name)
        ]
        rows = _filter_rows(rows, request, ("name",))
        return _make_json({"release": release.number, "accounts": rows, "missing": view.missing})

    def _list_workers(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        rows = [msgspec.to_builtins(view) for view in self._services.list_workers()]
        return _make_json(
            {"workers": _filter_rows(rows, request, ("data_centre", "rack", "state"))}
        )

    def _list_jobs(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del operator
        limit = _read_number(request, "limit", 100, 1, _MAX_JOBS)
        view = self._services.list_jobs()
        rows = [msgspec.to_builtins(job) for job in view.jobs]
        rows = _filter_rows(rows, request, ("client_account", "caller", "job_class", "state"))
        return _make_json({"total": len(rows), "jobs": rows[:limit], "missing": view.missing})

    def _get_status(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del request, operator
        return _make_json(self._services.get_status())

    def _get_histograms(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        del request, operator
        return _make_json(self._services.read_histograms())

    def _drain(self, request: werkzeug.Request, operator: str) -> werkzeug.Response:
        vm_id = request.args.get("vm_id")
        if not vm_id:
            return _make_error(400, "missing_field", "the query parameter vm_id is missing")
        outcome = self._services.start_drain(vm_id)
        if isinstance(outcome, result.Failure):
            known = sorted(outcome.failure().known)
            message = f"entry VM {vm_id!r} is unknown; known: {', '.join(known)}"
            return _make_error(404, "vm_unknown", message, known=known)
        _log.info("drain_requested", vm_id=vm_id, operator=operator)
        return _make_json({"vm_id": vm_id, "draining": True})

    def _read_newest_release(self) -> releases.Release:
        """Returns the newest release, or the one in force here if the table is unreachable."""
        newest = store.read_newest(self._services.get_table())
        return newest.value_or(self._services.get_release())

    def _read_note(
        self, request: werkzeug.Request, release: releases.Release
    ) -> tuple[documents.Document, plans.Context]:
        file = request.args.get("file", "note.yaml")[:200]
        document = notes.parse_note(request.get_data(), file)
        views = [v for v in self._services.list_workers() if v.state not in _UNUSABLE_STATES]
        context = plans.Context(
            release,
            capacity.make_capacity(
                [_make_worker(view) for view in views],
                {view.worker_id: view.partition for view in views},
            ),
            tuple(self._services.get_settings().job_classes),
            self._clock.now().date(),
        )
        return document, context


def _make_worker(view: services_module.WorkerView) -> resources.Worker:
    names = [field.name for field in dataclasses.fields(resources.Worker)]
    return resources.Worker(**{name: getattr(view, name) for name in names})


def _make_caller_view(caller: releases.Caller) -> dict[str, Any]:
    value = msgspec.to_builtins(caller)
    del value["token_hash"]
    return value


def _make_summary_view(summary: store.Summary) -> dict[str, Any]:
    value = msgspec.to_builtins(summary)
    del value["write_id"], value["digest"]
    return value


def _make_account_view(
    release: releases.Release,
    account: releases.ClientAccount,
    usage: services_module.AccountUsage | None,
) -> dict[str, Any]:
    usage = usage or services_module.AccountUsage(client_account=account.name)
    states = {state.name: state for state in usage.guarantees}
    guarantees = []
    for (client_account, name), guarantee in sorted(release.guarantees.items()):
        if client_account == account.name:
            state = states.get(name) or services_module.GuaranteeUsage(name=name)
            guarantees.append({**msgspec.to_builtins(guarantee), **msgspec.to_builtins(state)})
    callers = [c.name for c in release.callers.values() if c.client_account == account.name]
    return {
        **msgspec.to_builtins(account),
        "callers": sorted(callers),
        "used_accelerators": usage.used_accelerators,
        "running": usage.running,
        "queued": usage.queued,
        "guarantees": guarantees,
    }


def _filter_rows(
    rows: list[dict[str, Any]], request: werkzeug.Request, names: Iterable[str]
) -> list[dict[str, Any]]:
    wanted = {name: request.args[name] for name in names if name in request.args}
    return [row for row in rows if all(row[name] == value for name, value in wanted.items())]


def _read_number(
    request: werkzeug.Request, name: str, default: int, lowest: int, highest: int
) -> int:
    text = request.args.get(name, str(default))
    if not (text.isascii() and text.isdigit()) or not lowest <= int(text[:20]) <= highest:
        raise http_exceptions.BadRequest(
            f"{name} must be an integer from {lowest} to {highest}, got {text[:20]!r}"
        )
    return int(text)


def _refuse_note(note_findings: list[findings.Finding]) -> werkzeug.Response:
    return _make_error(
        422, "findings", "the note has errors; nothing was applied", findings=note_findings
    )


def _refuse_unavailable(error: Exception) -> werkzeug.Response:
    _log.error("release_table_unavailable", error=error)
    message = f"the table service is unavailable ({error}); nothing was written"
    return _make_error(503, "unavailable", message)


def _make_error(status: int, error: str, message: str | None, **fields: Any) -> werkzeug.Response:
    return _make_json({"error": error, "message": message or error, **fields}, status)


def _make_json(value: Mapping[str, Any] | msgspec.Struct, status: int = 200) -> werkzeug.Response:
    body = msgspec.json.encode(value)
    return werkzeug.Response(body, status, content_type="application/json")
