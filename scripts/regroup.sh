#!/bin/sh
# Runs real processes and checks that no instance joins a group while the head of its old group is
# open. Usage: scripts/regroup.sh SEED TROUBLES [SECONDS]; TROUBLES is "none" or a list such as
# "crash,refuse" of the values of scripts/regroup/Trouble.java. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. Build first: sh deploy/build. KEEP=1 keeps the logs of
# the processes in target/regroup.
cd "$(dirname "$0")/.." || exit 2
[ $# -ge 2 ] && [ -f target/platform/ebonypond.jar ] || exit 2
mkdir -p target/regroup/classes
javac -d target/regroup/classes review/lib/*.java scripts/regroup/*.java || exit 2
record=target/regroup/$(echo "$2" | tr , -)-$1.txt
java -Xmx256m -Djava.io.tmpdir=target/regroup -cp target/regroup/classes \
  Regroup "$record" "$1" "$2" "${3:-100}"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
