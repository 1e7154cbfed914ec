#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Run it after the build command of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/kit2 ./review/_kit2
