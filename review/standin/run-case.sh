# Read by the run.sh of each case, which sets Case to its folder's number and
# exports TROUBLE, which the case's program reads.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
Here="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
cd "$Here/.." || exit 2
for Needed in target/bin/lycheed "review/bin/case-$Case" deploy/lycheed.ini; do
  if [ ! -e "$Needed" ]; then
    echo "missing: $Needed (run the build line of deploy/system.toml and review/build.sh)"
    exit 2
  fi
done
Folder=$(mktemp -d) || exit 2
# The hosts end with the program that started them.
timeout -k 2 110 "review/bin/case-$Case" "$Folder" "review/$Case/record.txt"
Result=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS" && cp "$Folder"/* "$KEEP_LOGS"/
fi
rm -rf "$Folder"
case $Result in
  0 | 1) exit $Result ;;
  *) exit 2 ;;
esac
