# Entry points for people: `make demo`, `make check`, `make bench`.
BUILD_DIR ?= build

.PHONY: check demo measure bench build packages

packages:
	scripts/install_packages.sh

build: packages
	cmake -S . -B $(BUILD_DIR) -G Ninja >/dev/null
	cmake --build $(BUILD_DIR)

check: packages
	BUILD_DIR=$(BUILD_DIR) scripts/check.sh

demo:
	BUILD_DIR=$(BUILD_DIR) scripts/demo.sh

# The demo, then the time that each daemon adds, and memory and processor time of idle daemons.
measure:
	MEASURE=1 BUILD_DIR=$(BUILD_DIR) scripts/demo.sh
	$(BUILD_DIR)/bench/platform_latency_bench --program=$(BUILD_DIR)/platform/teaselreachd_platform

# Prints the tables of all benchmarks; fails if a bound is missed.
bench: build
	scripts/bench.sh $(BUILD_DIR)
