#include "FileText.h"

#include <fstream>
#include <sstream>

std::optional<std::string> read_file(std::string const& path, Core::LastReason& last_reason)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        last_reason.text = "can't read " + path;
        return {};
    }
    return text.str();
}
