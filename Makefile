.PHONY: build test lint run demo bench capacity proto property

build:
	go build -o bin/cicadareel .
	go build -o bin/standin ./cmd/standin

test:
	go test -count=1 $$(go list ./... | grep -v internal/system)
	go test -count=1 ./internal/system

lint:
	./scripts/lint.sh

run: build
	bin/cicadareel --help

demo: build
	./scripts/demo.sh

bench: build
	./scripts/bench.sh

capacity:
	./scripts/capacity.sh

property:
	go test -count=1 ./internal/... -rapid.checks=10000

proto:
	protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/connection/wire/wire.proto
