#!/bin/sh
# Plays the case; record.txt tells what was sent, answered and run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec node case.mjs "$PWD"
