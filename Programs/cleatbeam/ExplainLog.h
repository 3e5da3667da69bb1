#pragma once

#include <string>

/// Prints what happened to one request, in order, according to a box's log lines. `file` is a path, or "-" for standard
/// input. Returns an exit code, which says whether any line was found.
int explain_from_log(std::string const& request, std::string const& file);
