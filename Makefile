.PHONY: demo check packages build

DEPLOYMENT ?= bloomline

packages:
	misc/install_packages.sh

build: packages
	cmake -S . -B build -G Ninja
	cmake --build build

demo: build
	build/tests/harness/demo $(DEPLOYMENT)

check:
	.ci/run
