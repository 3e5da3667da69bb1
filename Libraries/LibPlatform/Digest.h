#pragma once

#include <string>
#include <string_view>

namespace Platform {

/// The SHA-256 digest of a text in lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

}
