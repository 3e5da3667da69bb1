#include "ExplainLog.h"
#include "CommandLine.h"

#include <LibLog/LogLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <vector>

namespace {

struct ToldEvent {
    std::string time;
    std::string box;
    std::string words;
};

std::vector<ToldEvent> events_of(std::string const& request, std::istream& lines)
{
    std::vector<ToldEvent> events;
    for (std::string line; std::getline(lines, line);) {
        // NOTE: Most lines belong to other requests; searching for the id first avoids parsing them.
        if (line.find(request) == std::string::npos)
            continue;
        auto pairs = Log::parse_line(line);
        auto words = pairs["id"] == request ? Log::describe_event(pairs) : std::string();
        if (!words.empty())
            events.push_back({ pairs["time"], pairs["box"], std::move(words) });
    }
    std::ranges::stable_sort(events, {}, &ToldEvent::time);
    return events;
}

}

int explain_from_log(std::string const& request, std::string const& file)
{
    std::ifstream opened;
    if (file != "-") {
        opened.open(file);
        if (!opened) {
            std::cerr << "cleatbeam: can't read " << file << "\n";
            return exit_failure;
        }
    }
    auto const events = events_of(request, file == "-" ? std::cin : opened);
    for (auto const& event : events)
        std::cout << event.time << " " << event.box << ": " << event.words << "\n";
    if (!events.empty())
        return exit_success;
    std::cerr << "cleatbeam: no line tells of request " << request << "\n";
    return exit_failure;
}
