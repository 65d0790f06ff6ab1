"""The release in force in this process."""

import dataclasses
import datetime
import threading

from returns import result

from lycheegate.keys import tokens
from lycheegate.model import releases

__all__ = ["CurrentRelease"]


@dataclasses.dataclass(frozen=True, slots=True)
class _InForce:
    release: releases.Release
    index: tokens.TokenIndex


class CurrentRelease:
    """Holds a release and the tokens of its callers; replaces both at once, upwards only."""

    def __init__(self):
        self._lock = threading.Lock()
        self._in_force = _InForce(releases.Release(), tokens.TokenIndex(()))

    def get(self) -> releases.Release:
        """Returns the release in force; number 0 until one was adopted."""
        return self._in_force.release

    def adopt(self, release: releases.Release) -> bool:
        """Puts a release in force if its number is higher; returns whether it did."""
        with self._lock:
            if release.number <= self._in_force.release.number:
                return False
            callers = release.callers.values()
            principals = (tokens.Principal(c.name, c.token_hash, c.expires_on) for c in callers)
            self._in_force = _InForce(release, tokens.TokenIndex(principals))
        return True

    def authenticate(
        self, header: str | None, today: datetime.date
    ) -> result.Result[releases.Caller, tokens.TokenProblem]:
        """Returns the caller whose bearer token a header holds."""
        in_force = self._in_force
        found = in_force.index.authenticate(header, today)
        return found.map(lambda name: in_force.release.callers[name])
