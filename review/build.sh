#!/bin/sh
# The stand-ins are plain programs of Node: there is nothing to compile. This checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.cjs [1-5]/*.cjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
