#!/usr/bin/env bash
# Shows what the soak sees: builds copies of the program that each lack one guard, plays SEEDS seeds (default 4) of each,
# and says in how many of them a copy was caught. Run by hand: it takes a minute or two for each copy.
#   BUILD   a folder built by Meta/build.sh, for the stand-ins and TestSoak (default Build)
#   SEEDS   seeds for each copy
#   PLAY    doctest filter of the plays (default all)
#   GUARDS  extended regular expression of the guards to leave out (default all)
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${BUILD:-Build}")
seeds=${SEEDS:-4}
play=${PLAY:-*}
guards=${GUARDS:-.}
copy=$(mktemp -d /tmp/cleatbeam-sight.XXXXXX)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
sed -i 's/-Werror//' "$copy/CMakeLists.txt"
cmake -G Ninja -S "$copy" -B "$copy/Build" -DCLEATBEAM_SHIPPED_ONLY=ON >/dev/null
ninja -C "$copy/Build" --quiet cleatbeam
ln -s "$build/standin" "$copy/Build/standin"

# play_seed SEED: plays one seed with the program as it is now, and prints the seed if a check failed.
play_seed() {
    CLEATBEAM_BUILD=$copy/Build CLEATBEAM_SOAK_SEED=$1 timeout 300 "$build/TestSoak" "-tc=$play" >/dev/null 2>&1 || echo "$1"
}
export -f play_seed
export copy build play

# caught: prints in how many of the seeds a check failed. Plays some of them at the same time.
caught() {
    seq 1 "$seeds" | xargs -P 4 -I{} bash -c 'play_seed {}' | wc -l
}

# without GUARD FILE EXPRESSION: the copy whose FILE is changed by sed's EXPRESSION.
without() {
    grep -qE "$guards" <<<"$1" || return 0
    cp "$copy/$2" "$copy/kept"
    sed -i "$3" "$copy/$2"
    if cmp -s "$copy/$2" "$copy/kept"; then
        echo "check_soak_sight: the expression for \"$1\" changes nothing" >&2
        exit 1
    fi
    ninja -C "$copy/Build" --quiet cleatbeam
    echo "$1: caught in $(caught) of $seeds seeds"
    cp "$copy/kept" "$copy/$2"
}

echo "as it is: caught in $(caught) of $seeds seeds"
gateway=Libraries/LibGateway
routing=Libraries/LibRouting
codec=platform/RequestCodec.cpp
without "answers to other requests are recognized" $codec 's/\(facts.is_for_other_request = \).*/\1false;/'
without "broken streams are not ended as whole" $gateway/RequestExchange.cpp 's/if (!may_be_broken_off)/if (true)/'
without "what may have run is remembered" $gateway/RequestExchange.cpp 's/this->may_have_run |= .*/;/'
without "a continued stream names its last event" $gateway/RequestExchange.cpp 's/forwarded.last_event_id = .*/;/'
without "only whole events are forwarded" $gateway/RequestExchange.cpp 's/return this->events.append(received);/{ static_cast<void>(this->events.append(received)); return received; }/'
without "a stream goes on at its version" $routing/RouterPlacement.cpp 's/if (request.stream_version \&\& /if (false \&\& /'
without "only what did not run counts so" $codec 's/facts.not_run = .*/facts.not_run = head.result_int() >= 500;/'
without "broken answers without length are cut" $gateway/RequestExchange.cpp 's/can_continue ? AttemptEnd::Interrupted : AttemptEnd::BrokenAfterDelivery/can_continue ? AttemptEnd::Interrupted : AttemptEnd::Delivered/'
without "connections with bytes left are not reused" $gateway/EndpointCall.cpp 's/ \&\& used->buffer.size() == 0//'
without "requests that may not be repeated are not" $gateway/ExchangeRetries.cpp 's/if (this->may_have_run \&\& !this->admitted->route->is_repeatable())/if (false)/'
without "a stream that is taken up goes on at its version" $routing/RouterPlacement.cpp 's/request.stream_version = origin.version;/;/'
