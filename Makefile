# Everyday tasks; the platform itself uses the commands in deploy/balancer.toml.
PYTHON = .venv/bin/python -B
# Where the tools are: an environment of our own, unless the caller has one.
ifndef DEV
DEV = .dev/bin
READY = .dev/.built
endif

# The operators' kit, whose bench plays the sites of deploy/sites.
KIT = ../given/kit

.PHONY: build run run-edge test lint ci clean sites

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
	$(DEV)/python -m pytest --known-red=KNOWN-RED.txt

lint: $(READY)
	$(DEV)/ruff check . && $(DEV)/ruff format --check . && PATH=$(DEV):$$PATH $(DEV)/mypy

# Beside the sites' own files go the kit's, which are its text and not ours.
sites:
	@test -d $(KIT)/sites || { echo "no kit at $(KIT): name it with KIT=..." >&2; exit 1; }
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites

ci:
	bash .ci/run

clean:
	rm -rf .venv .dev build *.egg-info
