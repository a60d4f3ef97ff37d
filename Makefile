VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := lavenderway-core lavenderway-node lavenderway-cli lavenderway-dev
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p))

.PHONY: install quickstart test check bench format

install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml)
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
