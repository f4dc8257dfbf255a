#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2.
# They need Boost.JSON, which the deploy file lists, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
objects=()
for source in review/standin-2/*.cpp; do
  object=target/review-2/$(basename "$source" .cpp).o
  g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin-2 "$source" \
    "${objects[@]}" -o "target/review-2/case$number" -pthread
done
# What is no case; REPORT-2.md tells why.
for source in review/more-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin-2 "$source" \
    "${objects[@]}" -o "target/review-2/$(basename "$source" .cpp)" -pthread
done
