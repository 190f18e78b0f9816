#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain JavaScript: this checks that the
# Node.js of the machine can load them.
set -euo pipefail
cd "$(dirname "$0")"
for module in kit-3/*.mjs 1[1-5]/*.mjs; do
  if [ -e "$module" ]; then node --check "$module"; fi
done
