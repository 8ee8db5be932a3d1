#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
javac -encoding UTF-8 -d "$out" standin-2/*.java $(ls ./*/Case*.java 2>/dev/null || true)
