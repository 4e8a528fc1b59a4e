# Commands for people and for CI. `make demo` is the one to start with.
VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python
SECONDS ?= 20
SEED ?= 1

.PHONY: demo test lint bench bench-capacity soak binary protocol clean

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(RUN) -m benchmarks.demo --seconds $(SECONDS) --seed $(SEED)

test: $(VENV)/installed
	$(RUN) -m pytest tests

lint: $(VENV)/installed
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

bench: $(VENV)/installed
	$(RUN) -m benchmarks.router
	$(RUN) -m benchmarks.fairness

bench-capacity: $(VENV)/installed
	$(RUN) -m benchmarks.capacity

binary: $(VENV)/installed
	$(RUN) -m binary.build

protocol: $(VENV)/installed
	$(RUN) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpc_python_out=. \
		carawayfold/protocol/peer.proto carawayfold/protocol/admin.proto

soak: $(VENV)/installed
	$(RUN) -m benchmarks.soak own --seconds $(SECONDS) --seed $(SEED)
	$(RUN) -m benchmarks.soak forward --seconds $(SECONDS) --seed $(SEED)

clean:
	rm -rf $(VENV) build dist *.egg-info
