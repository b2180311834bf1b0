#!/bin/bash
# Builds the stand-ins that the scripts of the review start, after the build of the
# deploy file. They are Python: it is checked that they load with what that build made.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
for module in tests.standins.store review.standins.advisor review.standins.worker \
    review.standins.bed review.standins.proxy \
    review.standins.twice; do
    python3 -c "import $module" || exit 1
done
