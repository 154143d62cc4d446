#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python files without dependencies of their own.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/lab_2.py
