# Each target prints the commands that it runs. CI runs only `make test`.

GO ?= go
SPIN := $(shell command -v spin 2>/dev/null)
RED := $(shell grep -v '^\#' KNOWN-RED.txt | cut -d'|' -f1 | paste -sd'|' | tr -d ' ')

FUZZTIME ?= 10s
SOAK_SEEDS ?= 17

.PHONY: all build test check unit crowds race process model bench capacity demo tools fmt clean soak fuzz

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# Installs the Spin model checker (Debian package "spin"), which `make model` needs.
tools:
ifeq ($(SPIN),)
	apt-get update -qq && apt-get install -y -qq spin
endif

test: tools check build unit crowds model
	@echo "make test: all passed"

check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "run make fmt"; exit 1; }
	$(GO) mod tidy -diff
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known failure, skipped: /' || true
	$(GO) test -count=1 -timeout 20m -skip '^(TestCrowd.*$(if $(RED),|$(RED)))$$' ./...
	$(GO) test -run "^$$$$" -bench BenchmarkPlan -benchtime 20x ./internal/placement/dotterlookahead

# Tests that measure processes, which run alone.
crowds:
	$(GO) test -count=1 -timeout 20m -p 1 -run '^TestCrowd' $(if $(RED),-skip '^($(RED))$$') ./platform ./internal/testing/dottercrowd

model:
	@if [ -x spec/run.sh ]; then spec/run.sh; fi

bench:
	$(GO) test -run "^$$$$" -bench . -benchtime 1s $$($(GO) list ./... | grep -v /testing/)

demo: build
	scripts/demo.sh

fmt:
	gofmt -w .

clean:
	rm -rf bin report

capacity:
	$(GO) test -run '^$$' -bench . -benchtime 1x -timeout 30m ./internal/testing/dottercapacity

# Plays the fault soak: the seeds that have failed, and three times SOAK_SEEDS others, from
# 1, 101 and 201 on.
soak:
	$(GO) test -c -o bin/soak.test ./platform
	@for first in 1 101 201; do \
		(cd platform && ../bin/soak.test -test.run TestSoak -test.v -test.timeout 60m -soak.first $$first -soak.seeds $(SOAK_SEEDS) $$([ $$first = 1 ] && echo -soak.again) > ../bin/soak-$$first.txt 2>&1) & \
	done; wait; grep -h "failures$$" bin/soak-*.txt; ! grep -q -e "^FAIL" -e "^panic" bin/soak-*.txt

# Runs each fuzz target for FUZZTIME. What it finds is kept under testdata of its package.
fuzz:
	@for file in $$(grep -rl "^func Fuzz" --include=*_test.go .); do \
		for target in $$(grep -o "^func Fuzz[A-Za-z]*" $$file | cut -c6-); do \
			$(GO) test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) ./$$(dirname $$file) || exit 1; \
		done; \
	done
