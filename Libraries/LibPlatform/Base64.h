#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Platform {

/// Encodes with padding and without line breaks (RFC 4648).
[[nodiscard]] std::string to_base64(std::string_view bytes);
/// Decodes the same form. Returns nothing for any other text.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

}
