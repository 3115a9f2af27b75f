#!/bin/sh
# Builds the stand-ins and the scenarios of the cases 11 to 15. Run from any folder.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -Xlint:none -encoding UTF-8 -d target/review-3 review/standin-3/*.java
