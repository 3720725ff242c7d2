#!/usr/bin/env bash
# Builds the stand-ins and the program of each case that has one into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/stand_ins/*.cc; do
    object=target/review/$(basename "$source" .cc).o
    c++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object"
    objects+=("$object")
done
for source in review/*/case.cc; do
    number=$(basename "$(dirname "$source")")
    c++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "${objects[@]}" -o "target/review/case-$number"
done
