# The commands that CI and people share. `make run` needs BALANCER_CONFIG, as the platform sets it.
.PHONY: all build test lint run

all: lint build test

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test ./...

lint:
	@unformatted=$$(gofmt -l cmd decide internal); \
	if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	go vet ./...

run: build
	exec bin/pewterwheel
