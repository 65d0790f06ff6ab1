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
    """The release in force and an index of its callers' tokens.

    Both are replaced together, and only by those of a release with a higher number.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._in_force = _InForce(releases.Release(), tokens.TokenIndex(()))

    def get(self) -> releases.Release:
        """Returns the release in force; its number is 0 until a release is adopted."""
        return self._in_force.release

    def adopt(self, release: releases.Release) -> bool:
        """Puts a release in force if its number is higher than that of the current one.

        Returns:
            Whether the release was put in force.
        """
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
        """Returns the caller to whom the bearer token in an ``Authorization`` header belongs."""
        in_force = self._in_force
        found = in_force.index.authenticate(header, today)
        return found.map(lambda name: in_force.release.callers[name])
