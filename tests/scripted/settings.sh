#!/bin/bash
# Faulty settings of each daemon: one line with file, line, key and remedy, and exit status 2.
set -u
bin=$(cd "${KQ_BIN:-build/asan/bin}" && pwd)
examples=$(cd docs/examples && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir" || exit 1

check() { # program, sed expression on its example
  sed -E "$2" "$examples/${1#kumquat-}.toml" >faulty.toml
  echo "\$ $1 --check ($2)"
  "$bin/$1" --config faulty.toml --check 2>&1
  echo "exit $?"
}

for program in kumquat-balancer kumquat-agent; do
  check "$program" ''
  check "$program" '1a colour = "blue"'
  check "$program" 's/^failure_domain = .*/failure_domain = 7/'
  check "$program" 's/^(name = ).*/\1"a-name-that-is-longer-than-thirty-one-letters"/'
  check "$program" '/^failure_domain/d'
  check "$program" 's/^(address = )"127.0.[12].1:6100"/\1"there"/'
  check "$program" 's/^key = "00112233/key = "zz112233/'
  check "$program" 's/^name = .*/name = = 1/'
  "$bin/$program" --version
  "$bin/$program" 2>&1
  echo "exit $?"
  "$bin/$program" --config missing.toml 2>&1
  echo "exit $?"
  "$bin/$program" --log-level loud --config faulty.toml 2>&1
  echo "exit $?"
  "$bin/$program" --colour 2>&1
  echo "exit $?"
done
