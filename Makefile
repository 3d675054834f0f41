PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin

.PHONY: install demo test lint bench capacity mutants

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN)/pip install --quiet --editable '.[development]'
	touch $(VENV)/installed

install: $(VENV)/installed

demo: install
	$(RUN)/bilberryturn-demo $(if $(DEMO_ONCE),--once,)

lint: install
	$(RUN)/ruff format --check src features bench
	$(RUN)/ruff check src features bench
	$(RUN)/lint-imports

test: install
	$(RUN)/python features/run.py $(ARGS)

bench: install
	$(RUN)/python bench/policies.py
	$(RUN)/python bench/path.py
	$(RUN)/python bench/upstream.py
	$(RUN)/python bench/gateway_paths.py
	$(RUN)/python bench/recovery.py

capacity: install
	$(RUN)/python bench/capacity.py

mutants: install
	$(RUN)/python features/mutants.py $(ARGS)
