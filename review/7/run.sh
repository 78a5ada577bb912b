#!/bin/sh
exec "$(dirname "$0")/../rig-2/play.sh" Crowd "review/7"
