#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Platform {

[[nodiscard]] std::string to_base64(std::string_view bytes);
/// Nothing when the text is not base64.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

}
