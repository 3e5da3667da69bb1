#pragma once

#include <LibCore/LastReason.h>

#include <optional>
#include <string>

/// The content of a file; empty if it can't be read.
[[nodiscard]] std::optional<std::string> read_file(std::string const& path, Core::LastReason& last_reason);
