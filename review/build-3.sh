#!/bin/sh
# Builds the stand-ins that the scripts of this review start. Needs a JDK 17 and no library.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 && javac -d target/review-3 review/rig-3/src/*.java
