#!/bin/sh
# Compiles the stand-ins and cases 6 to 10 into target/review-2, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/src-2 -name '*.java' > target/review-2/sources.txt
javac -nowarn -cp target/loomreel.jar -d target/review-2 @target/review-2/sources.txt
