#!/bin/sh
# Plays one case: play.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp target/review-2 "$1" "$2"
case $? in
    40) exit 0 ;;
    41) exit 1 ;;
    *) exit 2 ;;
esac
