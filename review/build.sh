#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start, into
# target/review. Needs g++ and Boost, as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
for source in review/standin/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -pthread -Ireview/standin "$source" -o "target/review/$name" &
done
wait
for source in review/standin/case_*.cpp; do
  test -x "target/review/$(basename "$source" .cpp)"
done
