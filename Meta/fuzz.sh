#!/usr/bin/env bash
# Builds the fuzz targets and runs each for a bounded number of inputs from a fixed seed.
#   Meta/fuzz.sh [INPUTS]
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-20000}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
libraries=(Libraries/LibCore/*.cpp Libraries/LibSettings/*.cpp Libraries/LibPlatform/{Digest,HttpAddress}.cpp Libraries/LibFate/FateTypes.cpp
    Generated/LibFate/Fate.pb.cc Libraries/LibServer/{BoxSettings,RequestReader,RoutingTable,Credentials}.cpp)
printf '%s\n' "${libraries[@]}" Fuzz/*.cpp | xargs -P "$(nproc)" -I{} sh -c \
    'clang++ -std=c++20 -O1 -g -w -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all -ILibraries -IGenerated -c "$1" -o "$2/$(echo "$1" | tr / _).o"' _ {} "$folder"
mkdir "$folder/corpus-FuzzSettings" "$folder/corpus-FuzzRequest"
cp Examples/*.yaml "$folder/corpus-FuzzSettings"
printf '/v1/chat/completions\n018bcfe5-6800-7123-8abc-0123456789ab\n{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}' >"$folder/corpus-FuzzRequest/chat"
printf '/plain/1\n018bcfe5-6800-7123-8abc-0123456789ab\nany' >"$folder/corpus-FuzzRequest/plain"
for target in FuzzSettings FuzzRequest; do
    other=FuzzRequest
    [ "$target" = FuzzRequest ] && other=FuzzSettings
    objects=("$folder"/*.o)
    clang++ -fsanitize=fuzzer,address,undefined "${objects[@]/$folder\/Fuzz_$other.cpp.o/}" -o "$folder/$target" -lyaml-cpp -lprotobuf-lite -lxxhash -lcrypto
    # Leaks inside the YAML library's own exceptions are not ours to judge; everything else ends the run.
    "$folder/$target" -runs="$inputs" -seed=1 -max_len=4096 -timeout=10 -detect_leaks=0 "$folder/corpus-$target" >"$folder/$target.log" 2>&1 || { tail -40 "$folder/$target.log"; exit 1; }
    echo "fuzz target=$target inputs=$inputs verdict=held $(grep -o 'cov: [0-9]*' "$folder/$target.log" | tail -1 | tr -d ' ')"
done
