#!/bin/sh
# Builds every stand-in that a script of the review starts. Run from anywhere.
set -e
cd "$(dirname "$0")/.."
