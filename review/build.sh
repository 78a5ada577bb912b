#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the JDK 17 of the build only; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/rig/*.java
