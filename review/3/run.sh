#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run-case.sh" 3
