#!/bin/sh
# Writes an altered copy of a deployment's site file, to be played like any other:
# what others play will not be the standard one.
#
#   sh test/alter-deployment.sh SITE.toml OUT.toml FIELD=VALUE...
#
# Each FIELD is set to VALUE wherever the site file gives it a number, for example
# most=60000 (a low bound on waiting work), slots=4 batch=4 (narrow engines),
# step_ms=5 prefill_tokens_per_ms=25 (slow ones), handshake_ms=5. SECTION.FIELD=VALUE
# adds a field under a section that lacks it, for example bounds.even=true
# timing.truthful=true. The files that lie beside the site file are copied with it,
# its recorded days under the new name.
set -eu
[ $# -ge 3 ] || { sed -n '2,13p' "$0" >&2; exit 2; }
site=$1 out=$2
shift 2
cp "$site" "$out.new"
for change in "$@"; do
	field=${change%%=*} value=${change#*=}
	case $field in
	*.*)
		section=${field%%.*} field=${field#*.}
		case $section$field$value in *[!a-z_0-9.]*) echo "not a field: $change" >&2; exit 2 ;; esac
		grep -q "^\[$section\]" "$out.new" || { echo "the site file has no section $section" >&2; rm "$out.new"; exit 2; }
		perl -pi -e "s/^(\[\Q$section\E\].*)\n/\$1\n$field = $value\n/" "$out.new"
		continue
		;;
	esac
	case $field in *[!a-z_]*|'') echo "not a field: $change" >&2; exit 2 ;; esac
	case $value in *[!0-9.]*|'') echo "not a number: $change" >&2; exit 2 ;; esac
	grep -Eq "(^|[ {,])$field = [0-9.]+" "$out.new" || { echo "the site file gives no number for $field" >&2; rm "$out.new"; exit 2; }
	perl -pi -e "s/(?<![A-Za-z_])\Q$field\E = [0-9.]+/$field = $value/g" "$out.new"
done
mv "$out.new" "$out"
folder=$(dirname "$site")
for beside in "$folder"/wire.json "$folder"/CUT; do
	[ ! -f "$beside" ] || cp "$beside" "$(dirname "$out")/"
done
[ ! -f "${site%.toml}.days" ] || cp "${site%.toml}.days" "${out%.toml}.days"
