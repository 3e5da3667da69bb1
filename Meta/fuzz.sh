#!/usr/bin/env bash
# Builds the fuzz targets and runs each for a bounded number of inputs from a fixed seed.
#   Meta/fuzz.sh [INPUTS]
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-20000}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
libraries=(Libraries/LibCore/*.cpp Libraries/LibSettings/*.cpp Libraries/LibPlatform/{Digest,HttpAddress}.cpp Libraries/LibFate/FateTypes.cpp
    Generated/LibFate/Fate.pb.cc Libraries/LibServer/{BoxSettings,ModelCall,RequestReader,RoutingTable,Credentials}.cpp
    Libraries/LibRouting/*.cpp Libraries/LibMembership/*.cpp Generated/LibMembership/Relay.pb.cc platform/{ConfigurationRecord,JsonParser,JsonReader,StoreRecords,BoxEnvironment}.cpp)
mkdir "$folder/libraries" "$folder/targets"
compile() {
    xargs -P "$(nproc)" -I{} sh -c \
        'clang++ -std=c++20 -O1 -g1 -w -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all -ILibraries -IGenerated -I. -c "$1" -o "$2/$(echo "$1" | tr / _).o"' _ {} "$1"
}
printf '%s\n' "${libraries[@]}" | compile "$folder/libraries"
printf '%s\n' Fuzz/*.cpp | compile "$folder/targets"
# An archive, so that a target takes what it reads and nothing else.
ar rcs "$folder/libraries.a" "$folder"/libraries/*.o

mkdir "$folder"/corpus-Fuzz{Settings,Request,Records}
cp Examples/*.yaml "$folder/corpus-FuzzSettings"
printf '/v1/chat/completions\n018bcfe5-6800-7123-8abc-0123456789ab\n{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}' >"$folder/corpus-FuzzRequest/chat"
printf '/plain/1\n018bcfe5-6800-7123-8abc-0123456789ab\nany' >"$folder/corpus-FuzzRequest/plain"
entry='{"service":"s1","address":"10.0.0.9:8080","zone":"hall","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"call_seq":3,"born":1790000000123}'
printf '\0%s' "$entry" >"$folder/corpus-FuzzRecords/endpoint"
printf '\1{"items":[{"tls_key":"a","value":"e30=","offset":4}],"truncated":true,"end":6}' >"$folder/corpus-FuzzRecords/newest"
printf '\2\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0\0\0\0\4\1a{}' >"$folder/corpus-FuzzRecords/appended"
printf '\3{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"streaming","timeout_ms":600,"goal_ms":9,"priority":0,"service":"s","max_attempts":2}],"services":[{"name":"s"}]}' >"$folder/corpus-FuzzRecords/configuration"
# Box, question, answer, load report, news of crashes, news of endpoints and record of a crash: some valid bytes of each.
printf '\4\12\15\12\10127.0.0.\20\120\22\4hall' >"$folder/corpus-FuzzRecords/box"
printf '\5\11\1\0\0\0\0\0\0\0\20\2\30\3\42\1b' >"$folder/corpus-FuzzRecords/question"
printf '\6\11\1\0\0\0\0\0\0\0\20\2\30\1\42\20\12\1a\32\1s\42\6\12\1h\20\120' >"$folder/corpus-FuzzRecords/answer"
printf '\7\11\1\0\0\0\0\0\0\0\20\2\32\5\12\1a\20\7' >"$folder/corpus-FuzzRecords/load"
printf '\10\202\1\33\12\22\11\1\0\0\0\0\0\0\0\21\2\0\0\0\0\0\0\0\22\3\12\1a\30\2' >"$folder/corpus-FuzzRecords/crashes"
printf '\11\202\2\13\12\3\12\1a\20\2\210\2\1' >"$folder/corpus-FuzzRecords/news"
printf '\12\202\1\22\11\1\0\0\0\0\0\0\0\21\2\0\0\0\0\0\0\0\212\1\3\12\1a\220\1\3' >"$folder/corpus-FuzzRecords/crash"
printf '\13%s' 080112046465736b18022203692d31 >"$folder/corpus-FuzzRecords/forwarded"

for target in FuzzSettings FuzzRequest FuzzRecords; do
    clang++ -fsanitize=fuzzer,address,undefined "$folder/targets/Fuzz_$target.cpp.o" "$folder/libraries.a" -o "$folder/$target" \
        -lyaml-cpp -lprotobuf-lite -lxxhash -lcrypto -lspdlog -lfmt
    # Leaks inside the YAML library's own exceptions are not ours to judge; everything else ends the run.
    "$folder/$target" -runs="$inputs" -seed=1 -max_len=4096 -timeout=10 -detect_leaks=0 "$folder/corpus-$target" >"$folder/$target.log" 2>&1 || { tail -40 "$folder/$target.log"; exit 1; }
    echo "fuzz target=$target inputs=$inputs verdict=held $(grep -o 'cov: [0-9]*' "$folder/$target.log" | tail -1 | tr -d ' ')"
done
