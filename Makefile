PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup run test lint format fuzz clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	# Test processes start from bytecode also where writing it is switched off.
	$(BIN)/python -m compileall -q siskindale bench standins
	touch $(STAMP)

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

lint: setup
	$(BIN)/black --quiet --check .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy

test: setup
	$(BIN)/python -m pytest -n 4 tests
	$(BIN)/behave --format progress --no-capture features

run: setup
	$(BIN)/python -m bench demo

SEED ?= 1
SECONDS ?= 300
EXAMPLES ?= 500
fuzz: setup
	$(BIN)/python -m bench fuzz --seed $(SEED) --seconds $(SECONDS)
	SISKINDALE_PROFILE=explore SISKINDALE_SEED=$(SEED) SISKINDALE_EXAMPLES=$(EXAMPLES) \
	  $(BIN)/python -m pytest --hypothesis-seed=$(SEED) --timeout 0 \
	  tests/test_pool_machine.py tests/test_promotion_machine.py

clean:
	rm -rf $(VENV) build dist *.egg-info
