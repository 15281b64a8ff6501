#!/usr/bin/env bash
# Plays a case's script five times, then once with TROUBLE=0, and prints the exit codes. usage: review/repeat.sh N
cd "$(dirname "$0")/$1" || exit 2
for _ in 1 2 3 4 5; do
    ./run.sh > /dev/null 2>&1
    echo "exit code $?: $(tail -n 1 record.txt)"
done
cp record.txt record.last
TROUBLE=0 ./run.sh > /dev/null 2>&1
echo "TROUBLE=0: exit code $?: $(tail -n 1 record.txt)"
mv record.last record.txt
