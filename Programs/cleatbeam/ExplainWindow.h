#pragma once

#include "WindowSummary.h"

#include <string>

/// Prints a summary of the requests of a period, according to the log lines of boxes. `files` is a list of paths
/// separated by commas, where "-" is standard input. Returns an exit code, which says whether any request ended in the
/// period.
int explain_window(std::string const& window, std::string const& files);

/// The same from open logs. The tables go to `output`, what keeps them from being printed to `errors`.
int explain_window(WindowOption const& option, std::vector<std::pair<std::string, std::istream*>> const& logs,
    std::ostream& output, std::ostream& errors);
