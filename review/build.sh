#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target standin/*.java
