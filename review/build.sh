#!/bin/sh
# The stand-ins are Python modules of the standard library only; checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -B - standins.py ?/case.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
END
