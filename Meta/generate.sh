#!/usr/bin/env bash
# Makes the committed code in Generated/ anew from the .proto files.
set -euo pipefail
cd "$(dirname "$0")/../Libraries"
protoc --cpp_out=../Generated LibFate/Fate.proto
protoc --cpp_out=../Generated LibLeader/Leader.proto
protoc --cpp_out=../Generated LibMembership/Relay.proto
