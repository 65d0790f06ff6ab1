# One environment, pinned by requirements.lock. Set VENV to share it between checkouts.
VENV ?= .venv
PYTHON ?= python3.11
PY := $(VENV)/bin/python

.PHONY: env test lint format demo bench capacity

env: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	touch $@

format: env
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: lint
	$(PY) -m pytest

demo: env
	$(PY) -m demo.run

bench: env
	@$(PY) -m benchmarks.bench

capacity: env
	@$(PY) -m benchmarks.capacity
