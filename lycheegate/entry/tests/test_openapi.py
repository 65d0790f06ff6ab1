"""Tests that the OpenAPI description of the callers' interface matches the code."""

import pathlib
import re

import msgspec
import yaml

from lycheegate.entry import admission, callers

_DOCUMENT = yaml.safe_load(
    (pathlib.Path(__file__).parents[3] / "docs" / "openapi.yaml").read_text(encoding="utf-8")
)


def test_routes():
    """Guards against a route whose description is missing or wrong."""
    described = {
        (path, method.upper(), operation["operationId"])
        for path, methods in _DOCUMENT["paths"].items()
        for method, operation in methods.items()
        if method != "parameters"
    }
    served = {
        (re.sub(r"<(\w+)>", r"{\1}", rule.rule), method, rule.endpoint)
        for rule in callers.ROUTES.iter_rules()
        for method in rule.methods - {"HEAD"}
    }
    assert described == served


def test_submission_fields():
    """Guards against body fields whose description is missing or wrong."""
    schemas = _DOCUMENT["components"]["schemas"]
    body = {field.encode_name for field in msgspec.structs.fields(admission.Body)}
    assert set(schemas["Submission"]["properties"]) == body
    shape = {field.encode_name for field in msgspec.structs.fields(admission.ShapeBody)}
    assert set(schemas["Shape"]["properties"]) == shape
