# Each command does all of its own set-up: Python 3.11 with pip, and make, are enough.
PYTHON ?= python3
VENV ?= .venv-dev
ARGS ?=

.PHONY: demo test trial soak setup

demo: $(VENV)/ready
	$(VENV)/bin/hopmill demo $(ARGS)

test: $(VENV)/ready
	$(VENV)/bin/python -m pytest -q $(ARGS)

trial: $(VENV)/ready
	$(VENV)/bin/hopmill trial all --couriers 5 --seed $(or $(SEED),1) --at-once 3 $(ARGS)

soak: $(VENV)/ready
	$(VENV)/bin/hopmill soak --seed $(or $(SEED),1-4) $(ARGS)

setup: $(VENV)/ready

$(VENV)/ready: pyproject.toml requirements.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip -q --disable-pip-version-check install -e '.[dev]'
	touch $@
