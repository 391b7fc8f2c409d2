PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
TEST_JOBS ?= 4
STAMP := $(VENV)/.installed

.PHONY: demo test bench golden check format clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-build-isolation --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/demo.sh $(DEMO_ARGS)

test: $(STAMP)
	$(BIN)/python -m pytest --numprocesses $(TEST_JOBS) --dist worksteal -m "not alone" $(TEST_ARGS)
	$(BIN)/python -m pytest -m alone $(TEST_ALONE_ARGS)

bench: $(STAMP)
	scripts/bench_sockets.sh $(BIN)/python $(BENCH_REQUESTS) > $(VENV)/sockets.json
	$(BIN)/python -m hibiscushaven.bench --sockets $(VENV)/sockets.json $(BENCH_ARGS)

golden: $(STAMP)
	$(BIN)/python -m pytest -m "not slow" --snapshot-update tests/golden

check: $(STAMP)
	$(BIN)/black --check --quiet src tests
	$(BIN)/ruff check src tests

format: $(STAMP)
	$(BIN)/black --quiet src tests
	$(BIN)/ruff check --fix src tests

clean:
	rm -rf $(VENV)
