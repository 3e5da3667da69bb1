#pragma once

#include <string>
#include <string_view>

namespace Platform {

/// SHA-256 in lower-case hex.
[[nodiscard]] std::string sha256_hex(std::string_view text);

}
