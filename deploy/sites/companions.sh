#!/bin/sh
# Lays the bench's companion files beside the sites of this folder: they are the bench's, and not kept here.
# Takes the folder of the bench's own sites.
set -eu
from=${1:?the folder with real.json, wire.json and unlock.txt}
here=$(dirname "$0")
for name in real.json wire.json unlock.txt; do
  cp "$from/$name" "$here/$name"
done
