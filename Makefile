# Set VENV to use an existing virtual environment.
VENV ?= .venv
PYTHON = PYTHONPATH=src $(VENV)/bin/python

.PHONY: setup test faults lint format demo bench

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

# Tests that run side by side; each starts what it needs on ports of its own. Those marked alone
# follow one at a time.
TEST_WORKERS ?= 4

test: setup
	$(PYTHON) -m pytest -r xX -n $(TEST_WORKERS) --dist worksteal -m "not long and not alone"
	$(PYTHON) -m pytest -r xX -m "alone and not long"

# All faults of hosts, zones and pairs; `make test` leaves out those marked long.
faults: setup
	$(PYTHON) -m pytest -s -m "long or not long" tests/test_fault_pairs.py tests/test_fault_hosts.py tests/test_fault_zones.py

lint: setup
	$(VENV)/bin/black --check src tests spec bench deploy
	$(VENV)/bin/ruff check src tests spec bench deploy

format: setup
	$(VENV)/bin/black src tests spec bench deploy
	$(VENV)/bin/ruff check --fix src tests spec bench deploy

# DEPLOYMENT is sagbru or esernyo.
DEPLOYMENT ?= sagbru

demo: setup
	PYTHON=$(VENV)/bin/python demo/run.sh $(DEPLOYMENT)

# Both deployments against plain forwarders, one run after another, about 11 minutes.
bench: setup
	PYTHONPATH=src:bench $(VENV)/bin/python bench/deployments.py
