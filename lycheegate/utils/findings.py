"""Findings about operator input, collected with their place."""

import dataclasses
import enum
from collections.abc import Iterable

__all__ = ["Finding", "Severity", "format_findings", "has_errors", "sort_findings"]


class Severity(enum.StrEnum):
    """How serious a finding is; an error blocks the input as a whole."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something wrong in a file that an operator wrote.

    Attributes:
        severity: Error or warning.
        code: Stable short name, for programs.
        file: Name of the file.
        line: Line, counted from 1.
        column: Column, counted from 1.
        message: What is wrong.
        allowed: What is allowed in its place.
    """

    severity: Severity
    code: str
    file: str
    line: int
    column: int
    message: str
    allowed: str = ""


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Returns the findings in order of place."""
    return sorted(findings, key=lambda f: (f.file, f.line, f.column, f.code))


def has_errors(findings: Iterable[Finding]) -> bool:
    """Returns whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def format_findings(findings: Iterable[Finding]) -> str:
    """Returns one line for each finding, in order of place."""
    lines = []
    for finding in sort_findings(findings):
        place = f"{finding.file}:{finding.line}:{finding.column}"
        line = f"{place}: {finding.severity}: {finding.code}: {finding.message}"
        if finding.allowed:
            line += f" (allowed: {finding.allowed})"
        lines.append(line)
    return "\n".join(lines)
