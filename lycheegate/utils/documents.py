"""Conversion of YAML documents to msgspec models, with the location of every value.

msgspec reports only the first error and no line numbers. This module therefore converts the node
tree of the YAML parser itself: it reports every error as a finding and records the location of
every value.
"""

import dataclasses
import datetime
import math
import re
from typing import Any

import msgspec
import yaml

from lycheegate.utils import findings

__all__ = ["Document", "Location", "Path", "describe_type", "load_document", "strip_metadata"]

Path = tuple[str | int, ...]
# The libyaml parser is 14 times faster (1,000 callers: 0.07 s instead of 1 s) and limits the
# nesting depth.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_MAX_BYTES = 4 * 1024 * 1024
_UNPRINTABLE = re.compile("[^\t\n\r\x20-\x7e\x85\xa0-\ud7ff\ue000-\ufffd\U00010000-\U0010ffff]")
_INVALID = object()
# Findings are logged and displayed, so they never contain the values of these fields.
_SECRET_FIELDS = frozenset({"peer_key", "token_hash", "token"})
_TYPE_NAMES = {"map": "a mapping", "seq": "a list", "null": "null", "str": "text"}


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Line and column, counted from 1."""

    line: int
    column: int


@dataclasses.dataclass
class Document:
    """A converted document.

    Attributes:
        file: Name of the file, for findings.
        value: The model, or None if the document cannot be parsed or is not a mapping. Required
            top-level fields that are missing or invalid are None, so that the other fields can
            still be checked.
        locations: Location of each value by its path. List indices refer to the model, from which
            invalid elements are left out.
        incomplete: Paths of invalid fields, and of lists and mappings with invalid elements.
        collected: All findings, unordered.
    """

    file: str
    value: Any = None
    locations: dict[Path, Location] = dataclasses.field(default_factory=dict)
    incomplete: set[Path] = dataclasses.field(default_factory=set)
    collected: list[findings.Finding] = dataclasses.field(default_factory=list)

    def add_error(self, path: Path, code: str, message: str, allowed: str = "") -> None:
        """Adds an error at the location that ``find_location`` returns for a path."""
        self.add(findings.Severity.ERROR, self.find_location(path), code, message, allowed)

    def add_warning(self, path: Path, code: str, message: str, allowed: str = "") -> None:
        """Adds a warning at the location that ``find_location`` returns for a path."""
        self.add(findings.Severity.WARNING, self.find_location(path), code, message, allowed)

    def add(
        self,
        severity: findings.Severity,
        location: Location,
        code: str,
        message: str,
        allowed: str = "",
    ) -> None:
        """Adds a finding at a location."""
        finding = findings.Finding(
            severity, code, self.file, location.line, location.column, message, allowed
        )
        self.collected.append(finding)

    def find_location(self, path: Path) -> Location:
        """Returns the location of the value at a path, or of its nearest enclosing value."""
        while path and path not in self.locations:
            path = path[:-1]
        return self.locations.get(path, Location(1, 1))


def load_document(data: bytes | str, file: str, model: type[msgspec.Struct]) -> Document:
    """Parses a YAML document and converts it to a model.

    Args:
        data: Content of the file.
        file: Name of the file, for findings.
        model: Class to which the document is converted.

    Returns:
        The document with all findings. If one of them is an error, the value may be incomplete
        and serves only for further checks.
    """
    document = Document(file)
    node = _parse(document, data)
    if node is not None:
        value = _Converter(document).convert(node, msgspec.inspect.type_info(model), ())
        document.value = None if value is _INVALID else value
    return document


def strip_metadata(kind: msgspec.inspect.Type) -> msgspec.inspect.Type:
    """Returns the type without its metadata and without ``None`` as an alternative."""
    while True:
        if isinstance(kind, msgspec.inspect.Metadata):
            kind = kind.type
        elif isinstance(kind, msgspec.inspect.UnionType):
            kind = next(t for t in kind.types if not isinstance(t, msgspec.inspect.NoneType))
        else:
            return kind


def describe_type(kind: msgspec.inspect.Type) -> str:
    """Returns a description of the allowed type and range of values.

    A model can override the description with ``msgspec.Meta(extra={"allowed": ...})``.
    """
    allowed_text = _find_allowed_text(kind)
    if allowed_text is not None:
        return allowed_text
    kind = strip_metadata(kind)
    match kind:
        case msgspec.inspect.BoolType():
            return "true or false"
        case msgspec.inspect.IntType():
            return _describe_range("integer", kind)
        case msgspec.inspect.FloatType():
            return _describe_range("number", kind)
        case msgspec.inspect.StrType():
            return _describe_text(kind)
        case msgspec.inspect.EnumType():
            return ", ".join(str(member.value) for member in kind.cls)
        case msgspec.inspect.DateType():
            return "date, YYYY-MM-DD"
        case msgspec.inspect.ListType():
            text = f"list of {describe_type(kind.item_type)}"
            return f"{text}, at least {kind.min_length}" if kind.min_length else text
        case msgspec.inspect.DictType():
            return f"mapping of name to {describe_type(kind.value_type)}"
        case msgspec.inspect.StructType():
            return f"mapping with {', '.join(field.encode_name for field in kind.fields)}"
        case _:
            raise TypeError(f"type {kind!r} is not supported in documents")


def _find_allowed_text(kind: msgspec.inspect.Type) -> str | None:
    while True:
        if isinstance(kind, msgspec.inspect.Metadata):
            if kind.extra and "allowed" in kind.extra:
                return kind.extra["allowed"]
            kind = kind.type
        elif isinstance(kind, msgspec.inspect.UnionType):
            kind = next(t for t in kind.types if not isinstance(t, msgspec.inspect.NoneType))
        else:
            return None


def _describe_range(name: str, kind: msgspec.inspect.IntType | msgspec.inspect.FloatType) -> str:
    if kind.ge is not None and kind.le is not None:
        return f"{name}, {kind.ge} to {kind.le}"
    parts = [
        f"{relation} {bound}"
        for relation, bound in (
            ("at least", kind.ge),
            ("more than", kind.gt),
            ("at most", kind.le),
            ("less than", kind.lt),
        )
        if bound is not None
    ]
    return f"{name}, {' and '.join(parts)}" if parts else name


def _describe_text(kind: msgspec.inspect.StrType) -> str:
    parts = ["text"]
    if kind.pattern is not None:
        parts.append(f"matching {kind.pattern}")
    if kind.min_length is not None:
        parts.append(f"at least {kind.min_length} characters")
    if kind.max_length is not None:
        parts.append(f"at most {kind.max_length} characters")
    return ", ".join(parts)


def _parse(document: Document, data: bytes | str) -> yaml.Node | None:
    """Returns the root node, or None after adding a finding."""
    error = findings.Severity.ERROR
    if len(data) > _MAX_BYTES:
        document.add_error(
            (),
            "too_large",
            f"the document is {len(data)} bytes long",
            f"at most {_MAX_BYTES} bytes",
        )
        return None
    if isinstance(data, bytes):
        try:
            data = data.decode("utf-8")
        except UnicodeDecodeError as failure:
            location = _count_location(data[: failure.start].decode("utf-8"))
            document.add(
                error,
                location,
                "encoding",
                f"the document is not valid UTF-8: {failure.reason} at byte {failure.start}",
                "UTF-8",
            )
            return None
    data = data.removeprefix("\ufeff")
    match = _UNPRINTABLE.search(data)
    if match is not None:
        location = _count_location(data[: match.start()])
        document.add(error, location, "encoding", f"character U+{ord(match[0]):04X} is not allowed")
        return None
    try:
        node = yaml.compose(data, Loader=_LOADER)
    except yaml.MarkedYAMLError as failure:
        mark = failure.problem_mark or failure.context_mark
        parts = [part for part in (failure.context, failure.problem) if part]
        location = Location(mark.line + 1, mark.column + 1) if mark else Location(1, 1)
        document.add(error, location, "yaml_syntax", ": ".join(parts))
        return None
    if node is None:
        document.add_error((), "empty", "the document is empty")
    return node


def _count_location(before: str) -> Location:
    lines = before.split("\n")
    return Location(len(lines), len(lines[-1]) + 1)


class _Converter:
    def __init__(self, document: Document):
        self._document = document
        self._constructor = yaml.constructor.SafeConstructor()
        self._seen_nodes: set[int] = set()

    def convert(self, node: yaml.Node, kind: msgspec.inspect.Type, path: Path) -> Any:
        """Returns the value of a node, or ``_INVALID`` after adding at least one finding."""
        self._document.locations[path] = _get_location(node)
        # An alias refers to the same node object. Aliases are rejected because a small file could
        # expand to a huge document.
        if id(node) in self._seen_nodes:
            self._add(path, "alias", "anchors and aliases are not allowed")
            return _INVALID
        self._seen_nodes.add(id(node))
        if _allows_none(kind) and node.tag == "tag:yaml.org,2002:null":
            return None
        allowed = describe_type(kind)
        kind = strip_metadata(kind)
        match kind:
            case msgspec.inspect.StructType():
                return self._convert_struct(node, kind, path)
            case msgspec.inspect.ListType():
                return self._convert_list(node, kind, path)
            case msgspec.inspect.DictType():
                return self._convert_dict(node, kind, path)
            case _:
                return self._convert_scalar(node, kind, path, allowed)

    def _convert_struct(self, node: yaml.Node, kind: msgspec.inspect.StructType, path: Path) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return self._report_wrong_type(node, describe_type(kind), path)
        fields = {field.encode_name: field for field in kind.fields}
        values: dict[str, Any] = {}
        seen_keys: set[str] = set()
        for key_node, value_node in node.value:
            key = self._read_key(key_node, path, seen_keys)
            if key is None:
                continue
            if key not in fields:
                self._add_at(key_node, "unknown_field", f"unknown field {key!r}", ", ".join(fields))
                continue
            value = self.convert(value_node, fields[key].type, (*path, key))
            if value is _INVALID:
                self._document.incomplete.add((*path, key))
            else:
                values[fields[key].name] = value
        complete = True
        for key, field in fields.items():
            if field.required and key not in seen_keys:
                self._add(
                    path, "missing_field", f"field {key!r} is missing", describe_type(field.type)
                )
            complete = complete and not (field.required and field.name not in values)
            if path == () and field.required:
                values.setdefault(field.name, None)
        return kind.cls(**values) if complete or path == () else _INVALID

    def _convert_list(self, node: yaml.Node, kind: msgspec.inspect.ListType, path: Path) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            return self._report_wrong_type(node, describe_type(kind), path)
        values: list[Any] = []
        for item in node.value:
            value = self.convert(item, kind.item_type, (*path, len(values)))
            if value is _INVALID:
                self._document.incomplete.add(path)
            else:
                values.append(value)
        if kind.min_length and len(node.value) < kind.min_length:
            self._add(
                path,
                "out_of_range",
                f"number of list elements: {len(node.value)}",
                describe_type(kind),
            )
            return _INVALID
        return values

    def _convert_dict(self, node: yaml.Node, kind: msgspec.inspect.DictType, path: Path) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return self._report_wrong_type(node, describe_type(kind), path)
        values: dict[str, Any] = {}
        seen_keys: set[str] = set()
        for key_node, value_node in node.value:
            key = self._read_key(key_node, path, seen_keys)
            if key is None:
                continue
            problem = _check_scalar(key, strip_metadata(kind.key_type))
            if problem is not None:
                allowed = describe_type(kind.key_type)
                self._add_at(key_node, "out_of_range", f"name {key!r} {problem}", allowed)
            value = self.convert(value_node, kind.value_type, (*path, key))
            if value is _INVALID or problem is not None:
                self._document.incomplete.add(path)
            else:
                values[key] = value
        if kind.min_length and len(node.value) < kind.min_length:
            self._add(
                path,
                "out_of_range",
                f"number of mapping entries: {len(node.value)}",
                f"at least {kind.min_length}",
            )
            return _INVALID
        return values

    def _convert_scalar(
        self, node: yaml.Node, kind: msgspec.inspect.Type, path: Path, allowed: str
    ) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            return self._report_wrong_type(node, allowed, path)
        try:
            value = self._constructor.construct_object(node)
        except (yaml.YAMLError, ValueError, OverflowError):
            return self._report_wrong_type(node, allowed, path)
        match kind:
            case msgspec.inspect.BoolType():
                accepted = isinstance(value, bool)
            case msgspec.inspect.IntType():
                accepted = type(value) is int
            case msgspec.inspect.FloatType():
                accepted = type(value) in (int, float) and math.isfinite(value)
            case msgspec.inspect.DateType():
                accepted = type(value) is datetime.date
            case _:
                accepted = isinstance(value, str)
        if not accepted:
            return self._report_wrong_type(node, allowed, path)
        problem = _check_scalar(value, kind)
        if problem is not None:
            value_text = _format_value(node, path)
            self._add(path, "out_of_range", f"{value_text} {problem}", allowed)
            return _INVALID
        if isinstance(kind, msgspec.inspect.EnumType):
            return kind.cls(value)
        return float(value) if isinstance(kind, msgspec.inspect.FloatType) else value

    def _read_key(self, node: yaml.Node, path: Path, seen_keys: set[str]) -> str | None:
        if not isinstance(node, yaml.ScalarNode) or not node.tag.endswith(":str"):
            value_text = _quote(node.value) if isinstance(node, yaml.ScalarNode) else "a collection"
            self._add_at(node, "wrong_type", f"{value_text} cannot be a field name", "text")
            return None
        if node.value in seen_keys:
            self._add_at(node, "duplicate_field", f"field {node.value!r} is specified twice")
            return None
        seen_keys.add(node.value)
        return node.value

    def _report_wrong_type(self, node: yaml.Node, allowed: str, path: Path) -> Any:
        tag = node.tag.rpartition(":")[2]
        found = _TYPE_NAMES.get(tag, tag)
        if isinstance(node, yaml.ScalarNode) and tag != "null":
            found = f"{found} {_format_value(node, path)}"
        self._add(path, "wrong_type", f"found {found}", allowed)
        return _INVALID

    def _add(self, path: Path, code: str, message: str, allowed: str = "") -> None:
        self._document.add_error(path, code, message, allowed)

    def _add_at(self, node: yaml.Node, code: str, message: str, allowed: str = "") -> None:
        self._document.add(findings.Severity.ERROR, _get_location(node), code, message, allowed)


def _get_location(node: yaml.Node) -> Location:
    return Location(node.start_mark.line + 1, node.start_mark.column + 1)


def _allows_none(kind: msgspec.inspect.Type) -> bool:
    if isinstance(kind, msgspec.inspect.Metadata):
        return _allows_none(kind.type)
    if isinstance(kind, msgspec.inspect.UnionType):
        return any(isinstance(t, msgspec.inspect.NoneType) for t in kind.types)
    return False


def _check_scalar(value: Any, kind: msgspec.inspect.Type) -> str | None:
    """Returns the problem with a value of the correct type, or None if it is allowed."""
    match kind:
        case msgspec.inspect.EnumType():
            is_invalid = all(value != member.value for member in kind.cls)
        case msgspec.inspect.IntType() | msgspec.inspect.FloatType():
            is_invalid = (
                (kind.ge is not None and value < kind.ge)
                or (kind.gt is not None and value <= kind.gt)
                or (kind.le is not None and value > kind.le)
                or (kind.lt is not None and value >= kind.lt)
            )
        case msgspec.inspect.StrType():
            is_invalid = (
                (kind.pattern is not None and re.search(kind.pattern, value) is None)
                or (kind.min_length is not None and len(value) < kind.min_length)
                or (kind.max_length is not None and len(value) > kind.max_length)
            )
        case _:
            is_invalid = False
    return "is not allowed" if is_invalid else None


def _format_value(node: yaml.ScalarNode, path: Path) -> str:
    return "the value" if path and path[-1] in _SECRET_FIELDS else _quote(node.value)


def _quote(text: str) -> str:
    # Quotation marks make empty values and surrounding white space visible.
    return repr(text if len(text) <= 40 else f"{text[:37]}...")
