#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/stand ] && [ -x target/topazpulley ] || exit 2
exec target/review/stand refusal "$here/record.txt"
