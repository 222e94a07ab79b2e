#!/usr/bin/env bash
# Records the traces in internal/proof/replayer/testdata with the demo, and states
# the decisions that they give now. Run it only when a change of the decisions is
# intended, and read the difference of the stated outcomes before you commit it.
set -euo pipefail
cd "$(dirname "$0")/.."
out=internal/proof/replayer/testdata
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/burdockrudder" ./cmd/burdockrudder
mkdir -p "$out"

# record NAME ENTRY DEPLOYMENT FAULT
record() {
  local traces="$work/$1"
  mkdir "$traces"
  "$work/burdockrudder" demo --quiet --deployment "$3" --fault "$4" --jobs 14 --trace-dir "$traces" >/dev/null
  gzip -n -9 -c "$traces/$2.jsonl" >"$out/$1.trace.gz"
  "$work/burdockrudder" replay "$traces/$2.jsonl" | gzip -n -9 >"$out/$1.expected.gz"
}
record lamis_calm entry-1 lamis none
record lamis_mixed entry-2 lamis mixed
record apfm_calm entry-1 apfm none
record apfm_entry_crash entry-2 apfm entry_crash
