#!/usr/bin/env bash
# Compiles the drivers and stand-ins of the cases into review/classes. Needs a JDK 17, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac --add-modules jdk.incubator.foreign -nowarn -d classes src/*.java 2> >(grep -v "incubator" >&2)
