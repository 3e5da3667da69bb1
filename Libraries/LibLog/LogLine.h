#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Log {

/// The key=value pairs of a line that EventLine wrote. Words without an equals sign are passed over.
[[nodiscard]] std::map<std::string, std::string> parse_line(std::string_view line);

/// One event of a request's story in words, from the pairs of its line; empty for an event that is not known.
[[nodiscard]] std::string describe_event(std::map<std::string, std::string> const& pairs);

}
