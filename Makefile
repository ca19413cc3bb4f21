GO ?= go
TOOLS := $(GO) tool -modfile=tools/go.mod

.PHONY: test format lint measure

# VIRTUAL lists the packages with tests in virtual time (testing/synctest), and REAL all others. The runtime of the race
# detector occasionally crashes when timers of a synctest bubble fire on several processors; on one processor it finds
# the same races, because it compares the order of events and not their times.
VIRTUAL = $$(grep -rl '"testing/synctest"' --include='*_test.go' . | xargs -n1 dirname | sort -u)
REAL = $$($(GO) list -f '{{.Dir}}' ./... | sed "s|^$$PWD|.|" | grep -vxF "$(VIRTUAL)" | grep -vxF "$(ALONE)")

# PACKAGE_TIME bounds the tests of a package, so that a test that hangs ends. The simulated days of conductor with the race detector took
# 579 s beside other load, and go test allows 600 s unless told otherwise.
PACKAGE_TIME = 20m

# ALONE is the package whose tests run without others beside them, because they load the machine.
ALONE = ./platform/flooder

# test checks the format, runs the linters, and runs all tests with the race detector; tests in virtual time run with it
# on one processor and again without it on all processors, and those of ALONE at the end. Tests that KNOWN-RED.txt lists in lines "test: PACKAGE NAME"
# are known to fail: they are printed and not run.
test: lint
	@sed -n 's/^test: /known red, not run: /p' KNOWN-RED.txt 2>/dev/null || true
	@skip="$$(sed -n 's/^test: [^ ]* //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')"; \
	run="$(GO) test -count=1 -timeout $(PACKAGE_TIME) $${skip:+-skip ^($$skip)$$}"; \
	$$run -race $(REAL) && $$run -race -cpu 1 $(VIRTUAL) && $$run $(VIRTUAL) && $$run -race $(ALONE)

format:
	$(TOOLS) gofumpt -w .

lint:
	@unformatted="$$($(TOOLS) gofumpt -l .)"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(TOOLS) staticcheck ./...

COMMIT := $(shell git rev-parse --short HEAD)

# measure runs all measurements and writes their tables. The same commit gives the same tables, except for the figures of
# cost, loopback and capacity, which are in wall time or processor time.
measure:
	mkdir -p docs/measurements
	$(GO) run ./cmd/egretring-measure tasks -commit $(COMMIT) > docs/measurements/tasks.md
	$(GO) run ./cmd/egretring-measure requests -commit $(COMMIT) > docs/measurements/requests.md
	$(GO) run ./cmd/egretring-measure loopback -commit $(COMMIT) > docs/measurements/loopback.md
	$(GO) run ./cmd/egretring-measure capacity -commit $(COMMIT) > docs/measurements/capacity.md
