#!/bin/bash
# Builds the stand-ins of the scripts of cases 6, 7, 8 and 10. Run it in the repository root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/6/stand2/*.java review/6/Case6.java review/7/Case7.java review/8/Case8.java review/10/Case10.java
