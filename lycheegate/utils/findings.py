"""Findings about files written by operators, each with its location."""

import dataclasses
import enum
from collections.abc import Iterable

__all__ = ["Finding", "Severity", "format_findings", "has_errors", "sort_findings"]


class Severity(enum.StrEnum):
    """Severity of a finding; a single error causes the whole input to be rejected."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A problem in a file written by an operator.

    Attributes:
        severity: Error or warning.
        code: Stable identifier of the kind of problem, for programs.
        file: Name of the file.
        line: Line, counted from 1.
        column: Column, counted from 1.
        message: Description of the problem.
        allowed: Description of the values that are allowed, or an empty string.
    """

    severity: Severity
    code: str
    file: str
    line: int
    column: int
    message: str
    allowed: str = ""


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Returns the findings ordered by location, then by code."""
    return sorted(findings, key=lambda f: (f.file, f.line, f.column, f.code))


def has_errors(findings: Iterable[Finding]) -> bool:
    """Returns whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def format_findings(findings: Iterable[Finding]) -> str:
    """Returns one line for each finding, ordered by location, then by code."""
    lines = []
    for finding in sort_findings(findings):
        location = f"{finding.file}:{finding.line}:{finding.column}"
        line = f"{location}: {finding.severity}: {finding.code}: {finding.message}"
        if finding.allowed:
            line += f" (allowed: {finding.allowed})"
        lines.append(line)
    return "\n".join(lines)
