.PHONY: build test lint run demo demo-platform bench capacity falsify proto property

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

demo-platform: build
	./scripts/demo-platform.sh

demo: build
	./scripts/demo.sh

bench: build
	./scripts/bench.sh
	go test -tags measure -count=1 -v ./internal/measure | tee out/policies.txt

capacity:
	go build -o bin/measure ./cmd/measure
	mkdir -p out
	bin/measure capacity | tee out/capacity.txt

falsify:
	./scripts/falsify.sh

property:
	go test -count=1 ./internal/request/gate -rapid.checks=20000 -rapid.seed=0

proto:
	protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/connection/wire/wire.proto
