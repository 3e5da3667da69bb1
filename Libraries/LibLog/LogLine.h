#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Log {

/// Parses the key=value pairs of a line written by EventLine. Words without an equals sign are skipped.
[[nodiscard]] std::map<std::string, std::string> parse_line(std::string_view line);

/// Describes a request's log event in plain words, given the pairs of its line. Empty for any other event.
[[nodiscard]] std::string describe_event(std::map<std::string, std::string> const& pairs);

}
