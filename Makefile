.PHONY: demo check packages build bench slopes soak

DEPLOYMENT ?= bloomline
SEEDS ?= 5
SECONDS_EACH ?= 600

packages:
	misc/install_packages.sh

build: packages
	cmake -S . -B build -G Ninja
	cmake --build build

demo: build
	build/tests/harness/demo $(DEPLOYMENT)

check:
	.ci/run

bench: build
	build/bench/policy_bench $(SEEDS) $(SECONDS_EACH)

soak: build
	build/tests/soak/soak $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))

slopes: build
	build/tests/harness/slopes
