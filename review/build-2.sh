#!/bin/sh
# Builds the stand-ins and the program of each case from 6 on, after the build of the deploy file. Needs its compiler
# and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case-2.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/common-2 -o "build/review-2/case-$number" "$source"
done
