#!/usr/bin/env bash
# Builds the programs of the cases of the second review, with the stand-ins in them, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/check.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$number" "$source" -pthread
done
