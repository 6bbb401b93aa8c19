#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
echo '#include <boost/json/src.hpp>' | g++ "${flags[@]}" -x c++ -c -o target/review-2/json.o -
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "${flags[@]}" -o "target/review-2/$name" "$source" target/review-2/json.o
done
