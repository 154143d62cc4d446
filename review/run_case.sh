# Sourced by each run.sh, in the folder of its case.
[ -x ../../.venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
../../.venv/bin/python case.py
code=$?
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
