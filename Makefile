.PHONY: report soak soak-many build test lint run demo demo-platform bench capacity falsify proto property

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
	./scripts/bench-platform.sh
	go test -tags measure -count=1 -v ./internal/measure | tee out/policies.txt

capacity:
	go build -o bin/measure ./cmd/measure
	mkdir -p out
	bin/measure capacity | tee out/capacity.txt

# Runs the seed SEED, or those of internal/soak/testdata if SEED is not set.
soak:
	go test -count=1 -v ./internal/soak -soak.seed=$(or $(SEED),0) -soak.logs=$(CURDIR)/out/soak

# Runs COUNT new seeds (50 by default), five at a time.
soak-many:
	go test -count=1 -timeout 60m -parallel 5 ./internal/soak -soak.many=$(or $(COUNT),50) -soak.logs=$(CURDIR)/out/soak

# Draws plots of one run of the users' bench from its report REPORT and its log LOG.
report:
	mkdir -p out
	go run ./cmd/measure report --report $(REPORT) --log $(LOG) --to out/report.html

falsify:
	./scripts/falsify.sh

property:
	go test -count=1 ./internal/request/gate -rapid.checks=20000 -rapid.seed=0

proto:
	protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/connection/wire/wire.proto
