PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: venv demo test lint build bench soak schema

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

venv: $(VENV)/.installed

demo: venv
	$(BIN)/celeryfield demo

lint: venv
	$(BIN)/ruff format --check src tests tools bench
	$(BIN)/ruff check src tests tools bench

schema: venv
	$(BIN)/python tools/generate_schema.py
	$(BIN)/python tools/generate_reference.py

test: venv lint
	$(BIN)/python tools/generate_schema.py --check
	$(BIN)/python -m pytest
	$(MAKE) build
	$(BIN)/python tools/check_binary.py dist/celeryfield
	$(BIN)/celeryfield demo

build: venv
	$(BIN)/python tools/build_binary.py

bench: venv
	$(BIN)/python -m bench

soak: venv
	$(BIN)/python -m pytest tests --soak -m soak
