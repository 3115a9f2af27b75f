#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' programs of review/standin-2 into target/review-2.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
exec javac --release 17 -d target/review-2 review/standin-2/*.java
