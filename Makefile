# `make setup` installs what a new machine lacks; `make test` is what CI runs; `make demo` is
# the main job on a stand-in platform.
.PHONY: setup demo test

setup:
	scripts/setup.sh

demo: setup
	scripts/demo.sh

test: setup
	scripts/test.sh
