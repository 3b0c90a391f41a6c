# Entry points for people: `make demo`, `make check`, `make bench`.
BUILD_DIR ?= build

.PHONY: check demo bench build packages

packages:
	scripts/install_packages.sh

build: packages
	cmake -S . -B $(BUILD_DIR) -G Ninja >/dev/null
	cmake --build $(BUILD_DIR)

check: packages
	BUILD_DIR=$(BUILD_DIR) scripts/check.sh

demo:
	BUILD_DIR=$(BUILD_DIR) scripts/demo.sh
