# Everyday tasks; the platform itself uses the commands in deploy/balancer.toml.
PYTHON = .venv/bin/python -B
# Where the tools are: an environment of our own, unless the caller has one.
ifndef DEV
DEV = .dev/bin
READY = .dev/.built
endif

.PHONY: build run run-edge test lint ci clean

build:
	cmp -s requirements.txt .venv/.built || (rm -rf .venv && python3 -m venv .venv && \
		.venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/.built)

run: build
	exec $(PYTHON) -m lockspoke

run-edge: .dev/.built
	exec .dev/bin/python -B -m lockspoke --edge deploy/edge.toml

.dev/.built: pyproject.toml
	rm -rf .dev && python3 -m venv .dev && .dev/bin/pip -q install -e '.[dev]' && touch $@

test: $(READY)
	$(DEV)/python -m pytest

lint: $(READY)
	$(DEV)/ruff check . && $(DEV)/ruff format --check . && PATH=$(DEV):$$PATH $(DEV)/mypy

ci:
	bash .ci/run

clean:
	rm -rf .venv .dev build *.egg-info
