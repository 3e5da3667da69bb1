#pragma once

#include "DurationHistogram.h"
#include "MergedLog.h"
#include "OpenRequests.h"

#include <map>
#include <string>

/// How a request ended for its client.
enum class RequestEnd {
    /// The client got a whole answer of an endpoint, with a status below 500.
    Served,
    /// The client got an error after the request ran or may have run, or an endpoint's own server error.
    Failed,
    /// The answer broke off.
    Cut,
    /// The client left before the end.
    GivenUp,
    /// The client was told that the request had not run.
    Refused,
};

/// Rows of a table by name, in bounded memory.
template <typename Row> class BoundedRows {
public:
    explicit BoundedRows(std::size_t limit)
        : limit(limit)
    {
    }

    /// The row of this name. Beyond the limit, all new names share one row.
    Row& row(std::string const& name)
    {
        auto const key = name.substr(0, max_name_bytes);
        if (auto const found = this->rows.find(key); found != this->rows.end())
            return found->second;
        return this->rows[this->rows.size() < this->limit ? key : std::string(others)];
    }
    [[nodiscard]] std::map<std::string, Row> const& all() const { return this->rows; }

    bool operator==(BoundedRows const&) const = default;

    static constexpr std::string_view others = "(others)";
    static constexpr std::size_t max_name_bytes = 128;

private:
    std::size_t limit;
    std::map<std::string, Row> rows;
};

/// Counts of the requests of a route, an account, a box or a failure domain that ended in the period.
struct RequestCounts {
    std::uint64_t served { 0 };
    /// Served requests whose lines give the time of the first byte. A request without a goal counts as well.
    std::uint64_t measured { 0 };
    /// Served requests whose first byte came after the goal.
    std::uint64_t late { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t cut { 0 };
    std::uint64_t given_up { 0 };
    std::uint64_t refused { 0 };
    BoundedRows<std::uint64_t> refused_by_reason { max_reasons };
    BoundedRows<std::uint64_t> failed_by_reason { max_reasons };
    /// From the arrival to the end, of requests that were served, failed or cut.
    DurationHistogram durations;

    [[nodiscard]] std::uint64_t admitted() const { return this->served + this->failed + this->cut + this->given_up; }
    void add(RequestCounts const& other);

    bool operator==(RequestCounts const&) const = default;

    static constexpr std::size_t max_reasons = 100;
};

/// Attempts at one endpoint that ended in the period.
struct EndpointCounts {
    /// Requests that were sent to it; the sum of the next five.
    std::uint64_t got { 0 };
    /// Delivered with a status below 500.
    std::uint64_t answered { 0 };
    /// Answered with a server error.
    std::uint64_t errors { 0 };
    /// The endpoint reported that it did not run the request.
    std::uint64_t rejected { 0 };
    /// The endpoint ended the connection before the answer was complete.
    std::uint64_t broke { 0 };
    /// This box ended the attempt: the client left, the time ran out or the endpoint stayed silent.
    std::uint64_t cancelled { 0 };
    /// Attempts that reached no endpoint.
    std::uint64_t unsent { 0 };

    bool operator==(EndpointCounts const&) const = default;
};

/// Aggregates the lines of a period. Its memory does not depend on the number of lines.
class WindowSummary {
public:
    explicit WindowSummary(
        LogWindow window, UnreadableLines& unreadable, std::size_t max_open = OpenRequests::max_requests);

    /// Must be called with the lines of the whole log, by time: those outside the period name failure domains and tell
    /// whether requests of the period ended.
    void add(LogRecord const& record);
    /// Must be called once, after the last line.
    void finish();

    [[nodiscard]] RequestCounts const& total() const { return this->all_requests; }
    [[nodiscard]] std::map<std::string, RequestCounts> const& routes() const { return this->by_route.all(); }
    [[nodiscard]] std::map<std::string, RequestCounts> const& accounts() const { return this->by_account.all(); }
    [[nodiscard]] std::map<std::string, RequestCounts> failure_domains() const;
    [[nodiscard]] std::map<std::string, EndpointCounts> const& endpoints() const { return this->by_endpoint.all(); }
    /// Requests that a box sent to another one because it was cut off from endpoints.
    [[nodiscard]] std::uint64_t forwarded() const { return this->forwarded_requests; }
    /// Ends of requests whose line doesn't tell whether another box forwarded them, so that they may count twice.
    [[nodiscard]] std::uint64_t of_unknown_origin() const { return this->ends_of_unknown_origin; }
    /// Requests that were placed in the period and ended after it.
    [[nodiscard]] std::uint64_t ended_later() const { return this->requests_ended_later; }
    /// Requests that were placed in the period and whose end no line tells.
    [[nodiscard]] std::uint64_t without_end() const { return this->open.lost(); }
    /// Requests that were placed in the period and dropped because too many were open.
    [[nodiscard]] std::uint64_t forgotten() const { return this->open.forgotten(); }
    [[nodiscard]] std::size_t open_requests() const { return this->open.size(); }
    /// Lines that boxes did not write since their log's reader was slow.
    [[nodiscard]] std::uint64_t dropped_lines() const { return this->lines_dropped; }

    static constexpr std::size_t max_rows = 10'000;
    /// Names for what the log doesn't tell.
    static constexpr std::string_view not_told = "(not told)";
    /// The account of requests to public routes.
    static constexpr std::string_view no_account = "(public)";

private:
    void add_placement(LogRecord const& record);
    void add_attempt(LogRecord const& record);
    void add_end(LogRecord const& record);
    void add_unreadable_request(LogRecord const& record);
    void count_request(LogRecord const& record, std::string const& account, RequestCounts const& counts);
    void note_failure_domain(std::string const& box, LogRecord const& record);
    void reject(LogRecord const& record, std::string_view reason);

    LogWindow window;
    std::reference_wrapper<UnreadableLines> unreadable;
    OpenRequests open;
    RequestCounts all_requests;
    BoundedRows<RequestCounts> by_route { max_rows };
    BoundedRows<RequestCounts> by_account { max_rows };
    /// By box, since the line that tells its failure domain may come last.
    BoundedRows<RequestCounts> by_box { max_rows };
    BoundedRows<std::string> domain_of_box { max_rows };
    BoundedRows<EndpointCounts> by_endpoint { max_rows };
    std::uint64_t forwarded_requests { 0 };
    std::uint64_t ends_of_unknown_origin { 0 };
    std::uint64_t requests_ended_later { 0 };
    std::uint64_t lines_dropped { 0 };
};
