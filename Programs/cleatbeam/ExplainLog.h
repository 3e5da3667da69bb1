#pragma once

#include <string>

/// Tells the story of one request from a box's log lines, in order and in words. `file` is a path, or "-" for standard
/// input. The exit code says whether anything was found.
int explain_from_log(std::string const& request, std::string const& file);
