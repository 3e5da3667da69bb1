#include <LibLog/LogLine.h>

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace Log {

namespace {

using Pairs = std::map<std::string, std::string>;

std::string value_of(Pairs const& pairs, std::string const& key)
{
    auto const found = pairs.find(key);
    return found == pairs.end() ? std::string("?") : found->second;
}

/// Reads a quoted value. `position` starts after the opening quote and ends after the closing one.
std::string quoted_value(std::string_view line, std::size_t& position)
{
    std::string value;
    while (position < line.size() && line[position] != '"') {
        if (line[position] == '\\' && position + 1 < line.size())
            ++position;
        value += line[position++];
    }
    ++position;
    return value;
}

std::string describe_placement(Pairs const& pairs)
{
    return fmt::format("attempt {}: sent to {} of {} candidates (route {}, configuration {} confirmed {} ms before; "
                       "predicted {} ms: backlog {} ms, {} tokens to read, {} running there; {} ms left)",
        value_of(pairs, "attempt"), value_of(pairs, "endpoint"), value_of(pairs, "candidates"),
        value_of(pairs, "route"), value_of(pairs, "configuration"), value_of(pairs, "configuration_age_ms"),
        value_of(pairs, "predicted_ms"), value_of(pairs, "backlog_ms"), value_of(pairs, "tokens_to_read"),
        value_of(pairs, "running"), value_of(pairs, "left_ms"));
}

std::string describe_attempt_end(Pairs const& pairs)
{
    auto description = fmt::format("attempt at {} ended after {} ms: {}, status {}, on a {} connection",
        value_of(pairs, "endpoint"), value_of(pairs, "took_ms"), value_of(pairs, "result"), value_of(pairs, "status"),
        value_of(pairs, "reused_connection") == "yes" ? "kept" : "new");
    if (pairs.contains("detail"))
        description += " (" + value_of(pairs, "detail") + ")";
    return description;
}

std::string describe_endpoint_check(Pairs const& pairs)
{
    auto const now = value_of(pairs, "endpoint_now");
    auto const finding = now == "refuses" ? "its process has ended"
        : now == "answers"                ? "it takes connections"
                                          : "no reply came";
    return fmt::format("a new connection to {} after the broken one: {} (the request's fingerprint is {})",
        value_of(pairs, "endpoint"), finding, value_of(pairs, "fingerprint"));
}

std::string describe_request_end(Pairs const& pairs)
{
    return fmt::format("the client was told {} after {} ms and {} attempts, because: {}{}", value_of(pairs, "status"),
        value_of(pairs, "took_ms"), value_of(pairs, "attempts"), value_of(pairs, "reason"),
        value_of(pairs, "client_left") == "yes" ? "; it had left by then" : "");
}

}

Pairs parse_line(std::string_view line)
{
    Pairs pairs;
    std::size_t position = 0;
    while (position < line.size()) {
        auto const end_of_key = line.find_first_of(" =", position);
        if (end_of_key == std::string_view::npos)
            break;
        std::string const key(line.substr(position, end_of_key - position));
        position = end_of_key + 1;
        if (line[end_of_key] == ' ' || key.empty())
            continue;
        if (position < line.size() && line[position] == '"') {
            pairs[key] = quoted_value(line, ++position);
        } else {
            auto const end = std::min(line.find(' ', position), line.size());
            pairs[key] = line.substr(position, end - position);
            position = end;
        }
        ++position;
    }
    return pairs;
}

std::string describe_event(Pairs const& pairs)
{
    auto const event = value_of(pairs, "event");
    if (event == "request_placed")
        return describe_placement(pairs);
    if (event == "attempt_ended")
        return describe_attempt_end(pairs);
    if (event == "broken_connection_checked")
        return describe_endpoint_check(pairs);
    if (event == "request_ended")
        return describe_request_end(pairs);
    if (event == "answer_for_other_request")
        return "the endpoint sent an answer to another request first; it was dropped";
    return {};
}

}
