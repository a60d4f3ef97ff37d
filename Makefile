VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := packages/lavenderway-core packages/lavenderway-node packages/lavenderway-cli packages/lavenderway-relay platform packages/lavenderway-dev
EDITABLE := $(foreach p,$(PACKAGES),-e $(p))

.PHONY: install quickstart test check bench format soak

install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -c constraints.txt $(EDITABLE)
	touch $@

quickstart: install
	$(PYTHON) -m lavenderway_dev.quickstart

test: install
	$(PYTHON) -m lavenderway_dev.testrunner

check: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy --strict

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: install
	$(PYTHON) -m lavenderway_dev.bench

soak: install
	$(PYTHON) -m lavenderway_dev.soak --seed $$(date +%s) --count 5 --logs soak-logs
