"""Tests that the worked examples in the documentation run."""

import pathlib
import re

_DOCS = pathlib.Path(__file__).parents[3] / "docs"


def _run_examples(page, **names):
    blocks = re.findall(r"```python\n(.*?)```", (_DOCS / page).read_text("utf-8"), re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, page, "exec"), dict(names))  # noqa: S102


def test_peers_page():
    """Guards against an outdated example of partition ownership."""
    _run_examples("peers.md")


def test_entry_page(single_vm):
    """Guards against an outdated example of the callers' interface."""
    address = single_vm.entries["e0"].address
    _run_examples("entry.md", address=address, token=single_vm.tokens[0])
