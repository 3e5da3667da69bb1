#!/usr/bin/env bash
# Turns the lines that Meta/measure.sh printed into tables in Markdown and a plot.
#   Meta/report.sh LINES SVG >>docs/MEASUREMENTS.md
set -euo pipefail
lines=${1:?usage: Meta/report.sh LINES SVG}
picture=${2:?usage: Meta/report.sh LINES SVG}
field() { awk -v want="$1" '{ for (i = 1; i <= NF; ++i) { split($i, pair, "="); if (pair[1] == want) print pair[2] } }'; }

table() {
    local pattern=$1
    shift
    printf '| %s |\n' "$(printf '%s | ' "$@" | sed 's/ | $//')"
    printf '|%s\n' "$(printf -- '---|%.0s' "$@")"
    grep -E "$pattern" "$lines" | awk -v names="$*" '{
        count = split(names, wanted, " ")
        delete value
        for (i = 1; i <= NF; ++i) { at = index($i, "="); value[substr($i, 1, at - 1)] = substr($i, at + 1) }
        row = "|"
        for (i = 1; i <= count; ++i) row = row " " value[wanted[i]] " |"
        print row
    }'
}

table ' class=' policy class tier offered attained attained_while_fit attained_by_phase p50_ms p99_ms completed refused
echo
table ' goodput_per_s=' policy goodput_per_s goodput_tokens_per_s wasted_ratio lost duplicated wrong_answer false_not_run lower_tier_sheds urgent_refusals_beside_lower_work appends_per_s

data=$(mktemp)
trap 'rm -f "$data"' EXIT
mapfile -t classes < <(grep ' class=' "$lines" | field class | awk '!seen[$0]++')
mapfile -t policies < <(grep ' class=' "$lines" | field policy | awk '!seen[$0]++')
{
    printf 'policy %s\n' "${classes[*]}"
    for policy in "${policies[@]}"; do
        printf '%s' "$policy"
        for class in "${classes[@]}"; do printf ' %s' "$(grep "policy=$policy class=$class " "$lines" | field attained_while_fit)"; done
        printf '\n'
    done
} >"$data"
gnuplot <<PLOT
set terminal svg size 900,420
set output '$picture'
set style data histogram
set style fill solid 0.8
set yrange [0:1.05]
set ylabel 'in time while the top tier fits'
set key outside top center horizontal
set xtics font ',9'
plot for [column=2:$((${#classes[@]} + 1))] '$data' using column:xtic(1) title columnheader(column)
PLOT
