#!/bin/bash
# Builds the stand-ins of the cases, which are new ones, into review/target. Needs JDK 17 alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir target
javac -Xlint:all,-serial,-try -d target standin/*.java
