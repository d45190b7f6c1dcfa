#!/usr/bin/env bash
# Checks the specifications with spin, exhaustively, and that spin rejects each
# deliberately broken variant.
set -euo pipefail
cd "$(dirname "$0")/../spec"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify FILE [DEFINE...] prints pass or fail.
verify() {
  local file=$1
  shift
  (
    cd "$work"
    spin "$@" -a "$OLDPWD/$file" >/dev/null
    gcc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c
    ./pan -m200000 >pan.log
    if grep -q 'errors: 0' pan.log && ! grep -q 'max search depth too small' pan.log; then
      echo pass
    else
      echo fail
    fi
  )
}

status=0
expect() {
  local want=$1 got
  shift
  got=$(verify "$@")
  printf '%-5s want %-5s %s\n' "$got" "$want" "$*"
  [[ $got == "$want" ]] || status=1
}

expect pass claim.pml
expect fail claim.pml -DBROKEN_SHARED_RUN
expect fail claim.pml -DBROKEN_STEAL
expect fail claim.pml -DBROKEN_ASSUME
expect pass config.pml
expect fail config.pml -DBROKEN_BLIND_WRITE
expect fail config.pml -DBROKEN_ADOPT
exit "$status"
