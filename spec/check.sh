#!/bin/sh
# Checks every model to its full state space, then checks that the model fails
# without each of its mechanisms. Prints one line per run and fails if any run
# is not as expected.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# verify MODEL WANTED [DEFINE]: WANTED is "holds" or "violated".
verify() {
	model=$1
	wanted=$2
	define=${3:-}
	(
		cd "$work"
		spin -a ${define:+"-D$define"} "$OLDPWD/$model.pml" >spin.log 2>&1
		gcc -O2 -DMEMLIM=4096 -DVECTORSZ=2048 -DCOLLAPSE -DSAFETY -DNOREDUCE -o pan pan.c 2>gcc.log
		timeout 120 ./pan -m1000000 >pan.log 2>&1 || true
	)
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.log")
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.log")
	complete=yes
	grep -q 'State-vector' "$work/pan.log" || complete=no
	grep -q "Search not completed\|max search depth too small\|out of memory" "$work/pan.log" && complete=no
	result=holds
	[ "${errors:-none}" = 0 ] || result=violated
	[ "$result" = holds ] && [ "$complete" = no ] && result=incomplete
	verdict=ok
	[ "$result" = "$wanted" ] || { verdict=FAIL; failed=1; }
	echo "spec model=$model without=${define:-nothing} wanted=$wanted result=$result states=${states:-0} verdict=$verdict"
}

verify chunk holds
verify chunk violated NO_EPOCH_CHECK
verify chunk violated NO_JOB_CHECK
verify chunk violated NO_INTENT
verify chunk violated NO_TAKEOVER
verify revision holds
verify revision violated NO_INSERT_CONDITION
verify revision violated NO_MAJORITY_STORE
verify revision violated NO_RISE_CHECK
verify revision violated NO_CATCH_UP
verify order holds
verify order violated NO_FENCE
verify claim holds
verify claim holds NO_END_CHECK
verify claim violated PROMISE_UNSETTLED
verify claim violated NO_CLAIM_CHECK
verify claim violated NO_TAKEOVER
verify ended holds
verify ended violated ANY_AGE
verify ended violated AGE_FROM_RECEIPT
verify ended violated NOT_HELD_AGAINST_THE_COPY
verify quota holds
verify quota violated NO_VOID
verify quota violated RELEASE_ANY
verify quota violated COUNT_TWICE
verify quota violated LOST_AT_TAKEOVER
verify quota violated SAME_HOLDER
verify ratelimit holds
verify ratelimit violated FULL_START
verify ratelimit violated FULL_STAND_IN
verify ratelimit violated NO_CAPACITY
verify ratelimit-cut holds
verify ratelimit-cut violated KEEPERS_BY_VIEW
verify ratelimit-cut violated NO_REACH
verify ratelimit-cut violated RAISED_AT_ONCE
exit $failed
