#!/bin/sh
# Builds the stand-ins of the third review. Needs a JDK, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec javac -nowarn -encoding UTF-8 -d target/review-3 review/standins-3/*.java
