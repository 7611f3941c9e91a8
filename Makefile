# Targets: all, check, demo, bench, bench-decisions, capacity, proof, soak, format, lint, clean.
# VARIANT selects the instrumentation: release, asan (address and undefined behaviour) or tsan.

VARIANT ?= release
SEED ?= 1
PACKAGES = talloc tevent libzmq popt tomlplusplus libxxhash msgpack jansson libmicrohttpd \
	libcoap-3-notls libsodium zlib
VERSION = 0.1.0

CC = gcc
CXX = g++
CLANG_FORMAT = clang-format
CLANG_TIDY = clang-tidy

CPPFLAGS = -Iinclude -Istandins/lib -Iplatform -D_GNU_SOURCE -DKQ_VERSION='"$(VERSION)"' \
	$(shell pkg-config --cflags $(PACKAGES))
WARNINGS = -Wall -Wextra -Wshadow -Wpointer-arith -Wcast-align -Wformat=2 -Werror
CFLAGS_release = -O2 -g
CFLAGS_asan = -O1 -g -fno-omit-frame-pointer -fsanitize=address,undefined -fno-sanitize-recover=all
CFLAGS_tsan = -O1 -g -fno-omit-frame-pointer -fsanitize=thread
CFLAGS = -std=gnu11 $(WARNINGS) -Wstrict-prototypes -Wmissing-prototypes $(CFLAGS_$(VARIANT)) \
	$(EXTRA_CFLAGS)
CXXFLAGS = -std=c++17 $(WARNINGS) $(CFLAGS_$(VARIANT))
# The dynamic linker looks for each symbol in this order: those with most symbols come first.
LDLIBS = -lstdc++ -lc $(shell pkg-config --libs $(PACKAGES)) -lhttp_parser -lm -lpthread

B = build/$(VARIANT)
LIB_SOURCES = $(sort $(shell find src -name '*.c' -o -name '*.cc'))
LIB_OBJECTS = $(patsubst %,$(B)/%.o,$(LIB_SOURCES))
STANDIN_LIB_OBJECTS = $(patsubst %,$(B)/%.o,$(sort $(wildcard standins/lib/*.c)))
PROGRAMS = $(patsubst programs/%.c,$(B)/bin/%,$(wildcard programs/*.c))
# The adapter of the users' platform, and the programs that run there.
PLATFORM_OBJECTS = $(patsubst %,$(B)/%.o,$(filter-out platform/kumquat-%,$(sort $(wildcard platform/*.c))))
PLATFORM_PROGRAMS = $(patsubst platform/%.c,$(B)/platform/%,$(wildcard platform/kumquat-*.c))
STANDINS = $(patsubst standins/%.c,$(B)/bin/standin-%,$(wildcard standins/*.c))
UNIT_TESTS = $(patsubst tests/unit/%.c,$(B)/tests/%,$(wildcard tests/unit/test_*.c))
FUZZERS = $(patsubst tests/fuzz/%.c,$(B)/fuzz/%,$(wildcard tests/fuzz/fuzz_*.c))
BENCHES = $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/*.c))
C_FILES = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h')

all: $(PROGRAMS) $(PLATFORM_PROGRAMS) $(STANDINS)

everything: all unit-tests fuzzers benches
unit-tests: $(UNIT_TESTS)
fuzzers: $(FUZZERS)
benches: $(BENCHES)

$(B)/%.c.o: %.c
	@mkdir -p $(@D)
	@echo "CC $(VARIANT) $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(B)/%.cc.o: %.cc
	@mkdir -p $(@D)
	@echo "CXX $(VARIANT) $<"
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(B)/libkumquat.a: $(LIB_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(B)/libstandin.a: $(STANDIN_LIB_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

LINK = @mkdir -p $(@D) && $(CC) $(CFLAGS_$(VARIANT)) -o $@ $(filter %.o %.a,$^)

$(B)/bin/kumquat%: $(B)/programs/kumquat%.c.o $(B)/libkumquat.a
	$(LINK) $(LDLIBS)

# kumquatctl reads the platform's configurations.
$(B)/bin/kumquatctl: $(B)/programs/kumquatctl.c.o $(B)/libplatform.a $(B)/libkumquat.a
	$(LINK) $(LDLIBS)

$(B)/bin/standin-%: $(B)/standins/%.c.o $(B)/libstandin.a $(B)/libkumquat.a
	$(LINK) $(LDLIBS)

$(B)/tests/%: $(B)/tests/unit/%.c.o $(B)/tests/unit/unit.c.o $(B)/libstandin.a $(B)/libplatform.a \
	  $(B)/libkumquat.a
	$(LINK) $(LDLIBS) -lcunit

$(B)/fuzz/%: $(B)/tests/fuzz/%.c.o $(B)/libplatform.a $(B)/libkumquat.a
	$(LINK) $(LDLIBS)

$(B)/bench/%: $(B)/bench/%.c.o $(B)/libstandin.a $(B)/libkumquat.a
	$(LINK) $(LDLIBS)

$(B)/libplatform.a: $(PLATFORM_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(B)/platform/kumquat%: $(B)/platform/kumquat%.c.o $(B)/libplatform.a $(B)/libkumquat.a
	$(LINK) -Wl,--as-needed $(LDLIBS)

# What deploy/system.toml builds; everything lies below target.
deploy:
	$(MAKE) B=target/build platform-programs
	install -t target target/build/platform/kumquat-balancer target/build/platform/kumquat-agent

platform-programs: $(PLATFORM_PROGRAMS)

.PHONY: deploy platform-programs

# Every unit test runs under the address and undefined-behaviour sanitizers; those that use threads
# run under the thread sanitizer as well.
check: dependencies
	$(MAKE) VARIANT=asan everything
	$(MAKE) VARIANT=tsan unit-tests
	tests/run

format:
	$(CLANG_FORMAT) -i $(C_FILES)

format-check:
	@$(CLANG_FORMAT) --dry-run --Werror $(C_FILES)

TIDY_FILES = $(filter %.c,$(C_FILES))
lint: $(patsubst %,build/lint/%.ok,$(TIDY_FILES))
build/lint/%.ok: % .clang-tidy $(wildcard include/kumquat/*.h include/kumquat/internal/*.h)
	@mkdir -p $(@D)
	@echo "LINT $<"
	@$(CLANG_TIDY) --quiet $< -- $(CPPFLAGS) -std=gnu11 2>&1 | { ! grep -E 'warning:|error:' ; }
	@touch $@

dependencies:
	@tools/install-packages

clean:
	rm -rf build target

-include $(shell find build target -name '*.d' 2>/dev/null)


.PHONY: dependencies all everything unit-tests fuzzers benches check format format-check lint clean
.SECONDARY:

# The whole system on loopback; needs no sanitizers.
demo: dependencies
	$(MAKE) all
	tools/demo.py --seed $(SEED)

PROOF = KQ_BIN=$(CURDIR)/$(B)/bin tests/integration/proof.py
SWITCHES_BUILD = build/switches

proof: all
	$(PROOF)

# Each case of switches.toml must fail, in a build whose mechanisms can be switched off.
proof-off:
	$(MAKE) B=$(SWITCHES_BUILD) EXTRA_CFLAGS=-DKQ_TEST_SWITCHES all
	KQ_BIN=$(CURDIR)/$(SWITCHES_BUILD)/bin tests/integration/proof.py --off

proof-page:
	tests/integration/proof.py --write-page

bench: all
	python3 bench/bench_path.py

.PHONY: demo proof proof-off proof-page bench

# Faults drawn from a seed over the platform's programs; SEEDS=1-50 plays a series.
SECONDS ?= 20
SEEDS ?= $(SEED)
SOAK = tests/integration/soak.py --seeds $(SEEDS) --seconds $(SECONDS)

soak: all
	KQ_BIN=$(CURDIR)/$(B)/bin $(SOAK)
	KQ_BIN=$(CURDIR)/$(B)/bin $(SOAK) --planned

# With a mechanism switched off, the soak must find a broken promise.
soak-off:
	$(MAKE) B=$(SWITCHES_BUILD) EXTRA_CFLAGS=-DKQ_TEST_SWITCHES all
	! KQ_TEST_DISABLE=stream-drain KQ_BIN=$(CURDIR)/$(SWITCHES_BUILD)/bin $(SOAK) --planned

.PHONY: soak soak-off

# Prints every table of measured decisions, with baselines and targets.
bench-decisions: benches
	@set -e; for bench in $(B)/bench/decisions_*; do \
	  case $$bench in *.*) continue;; esac; echo "== $$bench"; $$bench; echo; done

.PHONY: bench-decisions

# Writes docs/CAPACITY.md from the table of a sweep on the users' bench.
capacity:
	tools/capacity.py

measure-control: benches
	$(B)/bench/control_slope

.PHONY: capacity measure-control
