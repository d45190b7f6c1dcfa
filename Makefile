# Build, test and lab targets; make help lists them.
.DEFAULT_GOAL := help
GO ?= go

.PHONY: help build run stack smoke test fuzz spec soak heavy slopes capacity measure tables fmt lint generate clean

help: ## Lists the targets.
	@awk -F':.*## ' '/^[a-z-]+:.*## /{printf "  %-10s %s\n", $$1, $$2}' $(MAKEFILE_LIST)

build: ## Builds bin/cactustide and bin/lab.
	@mkdir -p bin
	$(GO) build -o bin/cactustide .
	$(GO) build -o bin/lab ./labs

run: build ## Runs fake services, two entries and their agents until Ctrl-C.
	@scripts/run.sh

stack: build ## Runs two entries that forward directly to upstreams, with a fake platform, until Ctrl-C.
	@exec bin/lab stack

smoke: build ## Runs everything on free ports and checks one request of each kind.
	@scripts/smoke.sh

test: ## Runs the tests.
	@scripts/test.sh

SEED ?= 0
SEEDS ?= 1
soak: build ## Runs the real programs under random faults; SEED=n SEEDS=n.
	bin/lab soak --seed $(SEED) --seeds $(SEEDS)

heavy: build ## Compares engine selection policies under heavy load.
	bin/lab heavy

spec: ## Model checks the specifications with spin.
	@scripts/spec.sh

fmt: ## Formats the Go code.
	gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

lint: ## Checks formatting and runs the linter.
	@test -z "$$(gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$'))" || { gofumpt -l .; exit 1; }
	golangci-lint run ./...

generate: ## Generates Go code from wire/wire.proto.
	protoc --go_out=. --go_opt=module=cactustide wire/wire.proto

slopes: build ## Measures the slopes of docs/CAPACITY.md (2 minutes).
	bin/lab slopes

capacity: build ## Computes the table of docs/CAPACITY.md from the slopes.
	bin/lab capacity

measure: build ## Prints the tables of docs/MEASUREMENTS.md (3 minutes).
	bin/lab policy
	bin/lab overhead

tables: slopes capacity measure ## Regenerates every table of the docs.

fuzz: ## Runs each fuzz target for a few seconds.
	@scripts/fuzz.sh

clean: ## Removes build output.
	rm -rf bin
