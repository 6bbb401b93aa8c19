#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review, each as review/build/case-N. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir build
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread)
objects=()
for source in standins/*.cpp; do
    object="build/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in [1-5]/Case.cpp; do
    number="$(dirname "$source")"
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "build/case-$number" -lboost_json &
done
wait
for source in [1-5]/Case.cpp; do
    test -x "build/case-$(dirname "$source")"
done
