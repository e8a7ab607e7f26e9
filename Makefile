# Shortcuts for the commands that CI and the deployment run.

.PHONY: build test lint ci

build:
	go build -ldflags=-linkmode=external -o target/bitternmoor ./cmd/bitternmoor

test:
	go test ./...

lint:
	.ci/lint

ci:
	.ci/run
