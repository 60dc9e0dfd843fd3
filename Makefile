PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: defects demo format lint measure soak test

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes \
		-r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps \
		--no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tools.demo

test: $(STAMP)
	$(BIN)/python -m tools.run_tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

measure: $(STAMP)
	$(BIN)/python -m tools.measure

defects: $(STAMP)
	$(BIN)/python -m tools.defects

soak: $(STAMP)
	$(BIN)/python -m tools.soak
