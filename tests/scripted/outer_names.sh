#!/bin/bash
# Names on the wire, in settings, in the store, in logs and in metrics stay when code is renamed. To
# see that the check can fail, it runs again on a copy in which a metric, a setting, a path and a log
# key have other names.
set -u
python3 tests/integration/outer_names.py || exit 1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$dir/docs" "$dir/tests/integration"
cp -r src include platform programs standins deploy "$dir/"
cp -r docs/examples "$dir/docs/"
cp tests/integration/outer_names.py tests/integration/outer_names.txt "$dir/tests/integration/"
grep -rlE 'kumquat_flows_open|store\.timeout_ms|/v1/confirm|load_age_ms=' "$dir/src" |
  xargs sed -i -e 's/kumquat_flows_open/kumquat_flows_held/; s/store\.timeout_ms/store.limit_ms/' \
    -e 's|/v1/confirm|/v1/commit|; s/load_age_ms=/load_lag_ms=/'
python3 "$dir/tests/integration/outer_names.py" && exit 1
exit 0
