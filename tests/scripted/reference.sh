#!/bin/bash
# The reference pages name every setting, metric, event, option and error kind of the code. To see
# that the check can fail, it runs a second time on a copy without one line of each page.
set -u
python3 tests/integration/reference.py || exit 1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$dir/docs" "$dir/tests/integration"
cp -r src include "$dir/"
cp -r docs/reference "$dir/docs/"
cp tests/integration/reference.py "$dir/tests/integration/"
sed -i '/^| `store.timeout_ms` |/d' "$dir/docs/reference/settings.md"
sed -i '/^| `kumquat_flows_open` |/d' "$dir/docs/reference/metrics.md"
sed -i '/^| `plan-confirmed` |/d' "$dir/docs/reference/events.md"
sed -i '/^| `--html FILE` |/d' "$dir/docs/reference/commands.md"
sed -i '/^| `denied` |/d' "$dir/docs/reference/errors.md"
python3 "$dir/tests/integration/reference.py" && exit 1
exit 0
