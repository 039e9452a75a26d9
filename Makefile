# Targets for development. The platform doesn't use them: it runs the commands in deploy/balancer.toml.
PYTHON = .venv/bin/python -B
# DEV is the folder with the development tools. Unless the caller sets it, they are installed into .dev.
ifndef DEV
DEV = .dev/bin
READY = .dev/.built
endif

# The folder of the operators' kit. The kit's bench simulates the sites in deploy/sites.
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

# Copies the kit's files next to the site files. They belong to the kit, so this repository doesn't keep them.
sites:
	@test -d $(KIT)/sites || { echo "no kit at $(KIT): name it with KIT=..." >&2; exit 1; }
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites

ci:
	bash .ci/run

clean:
	rm -rf .venv .dev build *.egg-info
