#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review; needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java review/[1-5]/*.java
