"""HTTP responses that calls of several kinds have in common, with their log lines."""

import werkzeug

from lycheegate.metrics import jsonlog
from lycheegate.utils import exceptions

__all__ = ["RETRY_AFTER_S", "make_json", "respond_store_error", "respond_unavailable"]

RETRY_AFTER_S = 1


def make_json(body: bytes) -> werkzeug.Response:
    """Returns a response whose body is a JSON document."""
    return werkzeug.Response(body, mimetype="application/json")


def respond_store_error(
    log: jsonlog.JsonLog, error: Exception, call: str, job_id: str, is_write: bool = True
) -> werkzeug.Response:
    """Logs that a store call has failed, and returns the response to the caller.

    Args:
        log: Log of decisions.
        error: Failure of the store call.
        call: Kind of the caller's call.
        job_id: The job.
        is_write: Whether the store call may have made a change.
    """
    if is_write and not isinstance(error, exceptions.UnavailableError):
        # The change may have been made, so the response must not be a refusal.
        log.write("outcome_unknown", call=call, job=job_id, error=str(error))
        return werkzeug.Response(status=504)
    return respond_unavailable(log, "store_unavailable", job_id, call=call, error=str(error))


def respond_unavailable(
    log: jsonlog.JsonLog, reason: str, subject: str, delay_s: int = RETRY_AFTER_S, **fields
) -> werkzeug.Response:
    """Logs a refusal, and returns a 503 with the time after which the caller may come again.

    Args:
        log: Log of decisions.
        reason: Reason of the refusal.
        subject: The job, or the path of the call.
        delay_s: Time until the caller may come again.
        **fields: Further fields of the log line.
    """
    log.write("refused", reason=reason, subject=subject, **fields)
    response = werkzeug.Response(status=503)
    response.headers["Retry-After"] = str(delay_s)
    return response
