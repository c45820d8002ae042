PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
DURATION ?= 20

.PHONY: demo test measure faults soak fuzz format lint types check unit clean

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

# Demonstration: an end-to-end session against three daemons on loopback.
demo: $(VENV)/installed
	PYTHON=$(BIN)/python tools/demo.sh

# Formatter check, linters, type check, and all tests except the known failures.
test: format lint types unit

format: $(VENV)/installed
	$(BIN)/ruff format --check src tests tools

lint: $(VENV)/installed
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tools

types: $(VENV)/installed
	$(BIN)/mypy

unit: $(VENV)/installed
	$(BIN)/python tools/run_tests.py

# Fault tests: processes are killed and suspended.
faults: $(VENV)/installed
	$(BIN)/python -m pytest tests/test_processes.py

# Fault soak by hand; SEED=FIRST:END and DURATION in seconds select the runs.
soak: $(VENV)/installed
	$(BIN)/python -m tests.soak --seeds $(SEED) --duration $(DURATION)

# Long run of the state machine fuzz test; SEED=N selects the seed.
fuzz: $(VENV)/installed
	FUZZ_EXAMPLES=200 FUZZ_STEPS=40 $(BIN)/python -m pytest tests/test_machine.py -k random --hypothesis-seed=$(SEED)

# Benchmarks; compared quantities are measured in the same run.
measure: $(VENV)/installed
	$(BIN)/python -m tools.measure

clean:
	rm -rf $(VENV) build src/*.egg-info
