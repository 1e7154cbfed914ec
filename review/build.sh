#!/usr/bin/env bash
# Builds the stand-ins and cases of the review. The program itself is built by the command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/kit ./review/_kit
