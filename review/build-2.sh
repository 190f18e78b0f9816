#!/usr/bin/env bash
# Prepares what the scripts of cases 6 to 10 start beside the daemons. Their
# stand-ins are plain modules of Node.js that need no build: they are checked.
cd "$(dirname "$0")" || exit 2
for file in kit-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
