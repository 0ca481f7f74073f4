#!/bin/bash
# Builds the stand-ins of the cases into review/bin. Needs a C++20 compiler and nothing else.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for folder in [0-9]*/; do
    number=${folder%/}
    "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -I common -o "bin/case$number" "$number/case.cpp"
done
