.PHONY: build test check spec bench scale

build:
	go build -o bin/ ./cmd/...

# All tests: Go tests, scenarios over separate processes, model checking.
test: spec
	go test -timeout 40m ./...

# Formatting, vet and staticcheck, as CI runs them.
check:
	@unformatted=$$(gofmt -l cmd internal test); test -z "$$unformatted" || { echo "gofmt would change: $$unformatted"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Model checking with spin, installed if it is missing.
spec:
	@command -v spin >/dev/null || { apt-get update && apt-get install -y spin; }
	./spec/check.sh

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

scale: build
	./bin/topazbench scale
