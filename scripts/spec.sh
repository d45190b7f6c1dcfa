#!/usr/bin/env bash
# Checks the specifications with spin, exhaustively, and that spin rejects each
# deliberately broken variant.
set -euo pipefail
cd "$(dirname "$0")/../spec"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify FILE [DEFINE...] prints pass, fail (an assertion was violated) or error.
verify() {
  local file=$PWD/$1
  shift
  (
    cd "$work"
    rm -f pan*
    if ! spin "$@" -a "$file" >spin.log 2>&1 || ! gcc -w -O2 -DSAFETY -DCOLLAPSE -o pan pan.c 2>gcc.log; then
      echo error
      return
    fi
    # Each run takes under a minute, or counts as an error.
    timeout 60 ./pan -m1000000 >pan.log 2>&1 || true
    if grep -q 'max search depth too small' pan.log; then
      echo error
    elif grep -q 'errors: 0' pan.log; then
      echo pass
    elif grep -q 'assertion violated' pan.log; then
      echo fail
    else
      echo error
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
expect pass relay.pml
expect fail relay.pml -DBROKEN_ADOPT
expect fail relay.pml -DBROKEN_COMPARE
expect pass watch.pml
expect fail watch.pml -DBROKEN_BEHIND
expect fail watch.pml -DBROKEN_AGE
expect fail watch.pml -DBROKEN_FOLLOW
exit "$status"
