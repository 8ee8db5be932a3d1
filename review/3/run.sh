#!/bin/bash
exec "$(dirname "$0")/../run-case" "review/3" HalfSentWrites
