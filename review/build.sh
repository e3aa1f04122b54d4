#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build. It needs a JDK 17 only.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac --release 17 -d build *.java
