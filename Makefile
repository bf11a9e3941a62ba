# Set VENV to use an existing virtual environment.
VENV ?= .venv
PYTHON = PYTHONPATH=src $(VENV)/bin/python

.PHONY: setup test lint format demo bench

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(VENV)/bin/black --check src tests spec
	$(VENV)/bin/ruff check src tests spec

format: setup
	$(VENV)/bin/black src tests spec
	$(VENV)/bin/ruff check --fix src tests spec

# DEPLOYMENT is sagbru or esernyo.
DEPLOYMENT ?= sagbru

demo: setup
	PYTHON=$(VENV)/bin/python demo/run.sh $(DEPLOYMENT)

# Both deployments against plain forwarders, one run after another, about 11 minutes.
bench: setup
	PYTHONPATH=src:bench $(VENV)/bin/python bench/deployments.py
