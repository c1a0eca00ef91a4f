#!/bin/sh
# Builds the stand-ins of the third review. Needs a JDK, and no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
exec javac -nowarn --release 17 -encoding UTF-8 -d target/review-3 review/standins-3/*.java
