# Thin front of the CMake presets; see README.md for what each target shows.
.DEFAULT_GOAL := build
.PHONY: setup configure build build-sanitize test test-sanitize lint format demo \
        bench-flows bench-requests bench-config scenarios capacity soak soak-site explain-check clean

BIN := build/release/bin

setup:
	@scripts/setup.sh

configure: setup
	@cmake --preset release > /dev/null

build: configure
	@cmake --build --preset release

build-sanitize: setup
	@cmake --preset sanitize > /dev/null
	@cmake --build --preset sanitize

test: build
	@ctest --preset release

test-sanitize: build-sanitize
	@ctest --preset sanitize

lint: build
	@scripts/lint.sh

format:
	@git ls-files -co --exclude-standard -- '*.h' '*.cc' | xargs clang-format -i

demo: build
	@scripts/demo.sh samples/mu-north

bench-flows: build
	@$(BIN)/bench_flows

bench-requests: build
	@$(BIN)/bench_requests

bench-config: build
	@$(BIN)/bench_config

scenarios: build
	@$(BIN)/run_scenarios scenarios

capacity: build
	@scripts/capacity.sh

soak: build
	@scripts/soak.sh

# Real daemons between stand-ins of the users' platform: make soak-site SEED=7
soak-site: build
	@$(BIN)/poplar_soak --seed=$(or $(SEED),1) --seeds=$(or $(SEEDS),1) --seconds=$(or $(SECONDS),20) --print_faults

# The instances' logs have to name the cause of 95% of the failed requests.
explain-check: build
	@$(BIN)/poplar_soak --seed=100 --seeds=4 --seconds=25 --least_explained=95 --print_causes

clean:
	@rm -rf build
