#!/usr/bin/env bash
# Plays the case with the programs that the deploy file and review/build-2.sh build.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for program in target/goldcrestd target/review-standin-2; do
  if [ ! -x "$program" ]; then
    echo "$program is not built"
    exit 2
  fi
done
timeout -k 5 110 target/review-standin-2 -record "$here/record.txt" forgotten-poison
code=$?
tail -n 2 "$here/record.txt"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
