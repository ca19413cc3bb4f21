GO ?= go
TOOLS := $(GO) tool -modfile=tools/go.mod

.PHONY: test format lint measure

# test runs the formatter check, the linters and all tests with the race detector. Tests that KNOWN-RED.txt lists, with
# lines "test: PACKAGE NAME", are printed and not run.
test: lint
	@sed -n 's/^test: /known red, not run: /p' KNOWN-RED.txt 2>/dev/null || true
	@skip="$$(sed -n 's/^test: [^ ]* //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')"; \
	$(GO) test -race -count=1 $${skip:+-skip "^($$skip)$$"} ./...

format:
	$(TOOLS) gofumpt -w .

lint:
	@unformatted="$$($(TOOLS) gofumpt -l .)"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(TOOLS) staticcheck ./...

COMMIT := $(shell git rev-parse --short HEAD)

# measure runs all measurements in virtual time and writes their tables; the same commit gives the same tables, except
# for the figures of cost and of loopback, which are in wall time.
measure:
	mkdir -p docs/measurements
	$(GO) run ./cmd/egretring-measure tasks -commit $(COMMIT) > docs/measurements/tasks.md
	$(GO) run ./cmd/egretring-measure requests -commit $(COMMIT) > docs/measurements/requests.md
	$(GO) run ./cmd/egretring-measure loopback -commit $(COMMIT) > docs/measurements/loopback.md
	$(GO) run ./cmd/egretring-measure capacity -commit $(COMMIT) > docs/measurements/capacity.md
