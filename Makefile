GO ?= go
TOOLS := $(GO) tool -modfile=tools/go.mod

.PHONY: test format lint measure fuzz

# test runs the formatter check, the linters and all tests with the race detector.
test: lint
	$(GO) test -race -count=1 ./...

format:
	$(TOOLS) gofumpt -w .

lint:
	@unformatted="$$($(TOOLS) gofumpt -l .)"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(TOOLS) staticcheck ./...
