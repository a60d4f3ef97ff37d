#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")"
PYTHONPATH=.. exec timeout 118 python3 play.py
