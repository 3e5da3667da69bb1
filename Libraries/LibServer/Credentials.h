#pragma once

#include <string_view>

namespace Server {

/// Compares two texts in a time that does not depend on where they differ.
[[nodiscard]] bool equal_in_constant_time(std::string_view left, std::string_view right);

/// The key in an `Authorization: Bearer KEY` header value; empty for any other form.
[[nodiscard]] std::string_view bearer_key(std::string_view header_value);

}
