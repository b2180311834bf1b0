# Everything runs in .venv, which the first target makes from the lock file.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install test check demo binary soak format

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

check: install
	$(BIN)/ruff format --check src tests tools deploy
	$(BIN)/ruff check src tests tools deploy
	$(BIN)/mypy
	$(BIN)/python -m tests.run style

test: install check
	$(BIN)/python -m tests.run --jobs $(JOBS)

demo: install
	$(BIN)/python -m tests.demo

binary: install
	$(BIN)/python tools/bundle.py dist/mangosail.pyz

format: install
	$(BIN)/ruff format src tests tools deploy
	$(BIN)/ruff check --fix src tests tools deploy

# Slices of tests that run at a time.
JOBS ?= 2

MINUTES ?= 5
SEED ?= 0

soak: install
	$(BIN)/python -m tests.soak.run --minutes $(MINUTES) --seed $(SEED)
	$(BIN)/python -m tests.soak.deployment --minutes $(MINUTES) --seed $(SEED)
