#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' programs into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/src/review/*.java
