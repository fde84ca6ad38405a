#!/bin/sh
# Builds the stand-ins of the scripts into target/review; run it from any folder, without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/lib/*.java
