#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Build first: sh deploy/build; review/build.sh
cd "$(dirname "$0")/../.." || exit 2
[ -f target/platform/ebonypond.jar ] && [ -f target/review/OpenHead.class ] || exit 2
java -cp target/review OpenHead review/1/record.txt
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
