#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" stop-while-waiting "$(dirname "$0")"
