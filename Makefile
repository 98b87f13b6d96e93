PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1

.PHONY: setup test demo lint fuzz policy faults slopes

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test,lint]'
	touch $@

setup: $(VENV)/.ready

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

test: lint
	$(BIN)/python -m pytest -n 3

demo: setup
	$(BIN)/python -m standins.demo

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest tests/state tests/coordination --hypothesis-seed=$(SEED)

policy: setup
	$(BIN)/python -m bench.policy --seed $(SEED)

slopes: setup
	$(BIN)/python -m bench.slopes
