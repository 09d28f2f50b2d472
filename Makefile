VENV := .venv
PYTHON := $(VENV)/bin/python
LIBS := model settings ports serving policy peers ownership scheduler gateway cli cell
GATEWAYS ?= 3
SCHEDULERS ?= 3
WORKERS ?= 24
BASE_PORT ?= 21000
SEED ?= 1
SECONDS ?= 60
MINUTES ?= 5

.PHONY: setup test lint format demo demo-platform cell chaos soak soak-platform model bench-idle \
	bench-cell bench-control bench-decisions bench-dissemination bench-gateway bench-policy bench-recovery check-slots

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt dev-requirements.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt setuptools wheel
	$(VENV)/bin/pip install -q -c constraints.txt --no-build-isolation \
	  -r dev-requirements.txt $(foreach lib,$(LIBS),-e libs/$(lib)) -e platform
	touch $@

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: setup
	$(PYTHON) -m demo.demo

cell: setup
	$(PYTHON) -m demo.cell --gateways $(GATEWAYS) --schedulers $(SCHEDULERS) \
	  --workers $(WORKERS) --base-port $(BASE_PORT)

chaos: setup
	$(PYTHON) -m demo.chaos --seed $(SEED) --seconds $(SECONDS) --base-port $(BASE_PORT)

soak: setup
	SOAK_SEED=$(SEED) SOAK_MINUTES=$(MINUTES) $(PYTHON) -m pytest -s --timeout=0 tests/scheduler/test_recovery_machine.py

soak-platform: setup
	$(PYTHON) -m demo.fleet_soak --seed $(SEED) --seconds $(SECONDS)

demo-platform: setup
	$(PYTHON) -m demo.fleet_demo

bench-recovery: setup
	$(PYTHON) -m benchmarks.recovery

bench-idle: setup
	$(PYTHON) -m benchmarks.idle

bench-dissemination: setup
	$(PYTHON) -m benchmarks.dissemination

bench-gateway: setup
	$(PYTHON) -m benchmarks.gateway

check-slots: setup
	$(PYTHON) -m benchmarks.gateway_slots

bench-policy: setup
	$(PYTHON) -m benchmarks.policy

bench-cell: setup
	$(PYTHON) -m benchmarks.cell

bench-decisions: setup
	$(PYTHON) -m benchmarks.decisions

bench-control: setup
	$(PYTHON) -m benchmarks.control

model: setup
	$(PYTHON) -m specs.check
