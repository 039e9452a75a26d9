# Everyday tasks; the platform itself uses the commands in deploy/balancer.toml.
PYTHON = .venv/bin/python -B
DEV = .dev/bin

.PHONY: build run run-batch test lint ci clean

build:
	cmp -s requirements.txt .venv/.built || (rm -rf .venv && python3 -m venv .venv && \
		.venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/.built)

run: build
	exec $(PYTHON) -m lockspoke

run-batch: build
	exec $(PYTHON) -m lockspoke --batch deploy/batch.toml

.dev/.built: pyproject.toml
	rm -rf .dev && python3 -m venv .dev && $(DEV)/pip -q install -e '.[dev]' && touch $@

test: .dev/.built
	$(DEV)/python -m pytest

lint: .dev/.built
	$(DEV)/ruff check . && $(DEV)/ruff format --check . && PATH=$(DEV):$$PATH $(DEV)/mypy

ci:
	bash .ci/run

clean:
	rm -rf .venv .dev build *.egg-info
