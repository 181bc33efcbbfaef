VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
JOBS ?= 4
SEED ?= 0
N ?= 2000

.PHONY: test lint demo fuzz soak bench slopes generate install

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

lint: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

test: lint
	$(PY) -m pytest -q -n $(JOBS)

demo: $(STAMP)
	$(PY) -m coltsfootchute.standins.demos

fuzz: $(STAMP)
	COLTSFOOTCHUTE_FUZZ_EXAMPLES=$(N) $(PY) -m pytest -q -n $(JOBS) -m fuzz --hypothesis-seed=$(SEED)

soak: $(STAMP)
	$(PY) -m tests.soak.runs --first $(SEED) --count $(N)

bench: $(STAMP)
	$(PY) -m benchmarks.bench --write

slopes: $(STAMP)
	$(PY) -m benchmarks.slopes

# Needs grpcio-tools and grpclib on the path; the build itself needs neither.
generate:
	python -m grpc_tools.protoc -I . --python_out=. --grpclib_python_out=. \
	  coltsfootchute/proto/coltsfootchute.proto
