#!/bin/sh
# Builds the stand-ins of the second review's cases, from any folder. It needs no network: the stand-ins use the standard
# library and packages of this project only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -o bin/ ./review/standins2
