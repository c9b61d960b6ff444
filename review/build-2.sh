#!/bin/sh
# Builds what the scripts of the cases 6 and up start, into review/bin. The gateway itself comes from the build of the deploy
# file. Needs no network: the module has no dependencies.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in 6 7 8 9 10; do
	if [ -f "$case/main.go" ]; then
		go build -o "bin/case-$case" "./$case"
	fi
done
