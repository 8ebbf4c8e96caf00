# Targets: build, test, race, fmt, lint, pages, traces, compare, demo, bench, capacity, faults.
GO ?= go
export GOFLAGS += -buildvcs=false
SOURCES := $(shell git ls-files '*.go' 2>/dev/null)
# Packages where several goroutines share state, tested with the race detector.
RACED := ./internal/store/... ./internal/journal/... ./internal/peer/... ./internal/owner/... \
	./internal/home/... ./internal/member/... ./internal/table/... ./internal/worker/... ./internal/daemon/... \
	./internal/planner/... ./internal/mirror/... ./internal/kv/... ./platform/... \
	./internal/cellnode/... ./internal/relay/... ./internal/advisor/... ./internal/logs/... \
	./internal/httpcall/... ./internal/peerlink/... ./internal/accept/... ./internal/connlimit/... \
	./internal/standin/netpath/...
# Tests that are left out, from KNOWN-RED.txt: those whose name begins a line. Other lines begin with a folder.
KNOWN_RED := $(shell sed -n 's/^\([A-Za-z0-9_]*\)[ ,:].*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
TRACES := brno-day auckland-renewal peak-over-rebuild sizes-off runs-off cancel-wave failing-workers hall-lost \
	impossible-jobs weights-edited

.PHONY: build test race fmt lint pages traces compare demo bench capacity faults

build:
	$(GO) build -o bin/ ./cmd/...

test: build
	$(GO) test $(SKIP) -parallel 4 ./... ./policy/...

fmt:
	gofmt -w $(SOURCES)

lint:
	@test -z "$$(gofmt -l $(SOURCES))" || { gofmt -l $(SOURCES); echo "run make fmt"; exit 1; }
	$(GO) vet ./... ./policy/...
	$(GO) tool staticcheck ./... ./policy/...

race:
	$(GO) test $(SKIP) -race $(RACED)

pages: build
	./bin/tackbeamd --settings > docs/settings.md
	./bin/tackbeam pages docs/commands

traces: build
	for name in $(TRACES); do ./bin/tackbeam trace $$name traces/$$name.jsonl.gz; done

compare: build
	./bin/tackbeam replay --compare all traces/*.jsonl.gz

demo: build
	./test/demo.sh

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/... ./policy/...

capacity:
	TACKBEAM_CAPACITY=1 $(GO) test ./test -run 'TestCapacity$$|TestStarts|TestTimes|TestTenants|TestHalls' -v -count=1 -timeout 30m
	TACKBEAM_CAPACITY=1 $(GO) test ./test -run TestCapacityPage -count=1

faults:
	TACKBEAM_PAIRS=1 $(GO) test ./test -run 'TestFaults|TestChecker' -v -count=1 -parallel 4 -timeout 30m
