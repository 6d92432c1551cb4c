PYTHON ?= python3
VENV := .venv
PACKAGES := core decisions node cli standins
STAMP := $(VENV)/.installed
TOOLS := "setuptools>=77" wheel black ruff mypy import-linter behave hypothesis matplotlib

.PHONY: setup demo test bench format reference

setup: $(STAMP)

$(STAMP): constraints.txt $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml) platform/pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --constraint constraints.txt $(TOOLS)
	$(VENV)/bin/python -m pip install --quiet --constraint constraints.txt --no-build-isolation \
		$(foreach package,$(PACKAGES),--editable packages/$(package)) --editable platform
	touch $(STAMP)

demo: setup
	$(VENV)/bin/python -m jaylatch_standins.demo

test: setup
	$(VENV)/bin/python tools/run_tests.py

bench: setup
	$(VENV)/bin/python -m jaylatch_standins.bench $(BENCH)

format: setup
	$(VENV)/bin/python -m black --quiet packages platform features tools
	$(VENV)/bin/python -m ruff check --fix --quiet packages platform features tools

reference: setup
	$(VENV)/bin/python tools/reference.py
	$(VENV)/bin/python tools/capacity_table.py
