#pragma once

#include <string_view>

namespace Server {

/// Takes the same time wherever the texts differ.
[[nodiscard]] bool equal_in_constant_time(std::string_view left, std::string_view right);

/// The key in an `Authorization: Bearer KEY` header value; empty for any other form.
[[nodiscard]] std::string_view bearer_key(std::string_view header_value);

}
