#include "WindowSummary.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

using std::chrono::milliseconds;

namespace {

constexpr double status_bad_gateway = 502;
constexpr double status_gateway_timeout = 504;
constexpr double first_failure_status = 500;

/// How long a request is taken for open if its line doesn't tell, and the longest for any.
constexpr milliseconds max_time_left = std::chrono::minutes(10);
/// How much later than its time a request may end: a box answers at once, but clocks of boxes differ.
constexpr milliseconds end_grace = std::chrono::seconds(10);

RequestEnd end_of(double status, std::string_view reason, bool has_client_left)
{
    if (has_client_left || reason == "caller-gone")
        return RequestEnd::GivenUp;
    if (reason == "answer-complete")
        return status < first_failure_status ? RequestEnd::Served : RequestEnd::Failed;
    if (reason == "answer-cut-short")
        return RequestEnd::Cut;
    // NOTE: A box says 502 and 504 of requests that ran or may have run, and any other status of those that did not.
    bool const may_have_run = status == status_bad_gateway || status == status_gateway_timeout;
    return may_have_run ? RequestEnd::Failed : RequestEnd::Refused;
}

bool is_late(LogRecord const& record, double first_byte_milliseconds)
{
    auto const goal = record.number("goal_ms");
    return goal && *goal > 0 && first_byte_milliseconds > *goal;
}

RequestCounts counts_of(LogRecord const& record, RequestEnd end, double took_milliseconds, std::string const& reason)
{
    RequestCounts counts;
    if (end != RequestEnd::Refused && end != RequestEnd::GivenUp)
        counts.durations.add(took_milliseconds);
    switch (end) {
    case RequestEnd::Served:
        counts.served = 1;
        if (auto const first_byte = record.number("first_byte_ms")) {
            counts.measured = 1;
            counts.late = is_late(record, *first_byte) ? 1 : 0;
        }
        break;
    case RequestEnd::Failed:
        counts.failed = 1;
        counts.failed_by_reason.row(reason == "answer-complete" ? "status-of-endpoint" : reason) = 1;
        break;
    case RequestEnd::Cut:
        counts.cut = 1;
        break;
    case RequestEnd::GivenUp:
        counts.given_up = 1;
        break;
    case RequestEnd::Refused:
        counts.refused = 1;
        counts.refused_by_reason.row(reason) = 1;
        break;
    }
    return counts;
}

void add_rows(BoundedRows<std::uint64_t>& sum, BoundedRows<std::uint64_t> const& rows)
{
    for (auto const& [name, count] : rows.all())
        sum.row(name) += count;
}

void count_attempt(EndpointCounts& counts, std::string_view result, double status, bool is_cancelled)
{
    if (result == "not-sent") {
        ++counts.unsent;
        return;
    }
    ++counts.got;
    if (result == "delivered")
        ++(status < first_failure_status ? counts.answered : counts.errors);
    else if (result == "endpoint-error")
        ++counts.errors;
    else if (result == "not-run")
        ++counts.rejected;
    else
        ++(is_cancelled ? counts.cancelled : counts.broke);
}

}

void RequestCounts::add(RequestCounts const& other)
{
    this->served += other.served;
    this->measured += other.measured;
    this->late += other.late;
    this->failed += other.failed;
    this->cut += other.cut;
    this->given_up += other.given_up;
    this->refused += other.refused;
    add_rows(this->refused_by_reason, other.refused_by_reason);
    add_rows(this->failed_by_reason, other.failed_by_reason);
    this->durations.add(other.durations);
}

WindowSummary::WindowSummary(LogWindow window, UnreadableLines& unreadable, std::size_t max_open)
    : window(window)
    , unreadable(unreadable)
    , open(max_open)
{
}

void WindowSummary::add(LogRecord const& record)
{
    this->open.drop_expired(record.time);
    if (record.event == "request_placed" || record.event == "request_forwarded")
        this->add_placement(record);
    else if (record.event == "attempt_ended")
        this->add_attempt(record);
    else if (record.event == "request_ended")
        this->add_end(record);
    else if (record.event == "request_unreadable")
        this->add_unreadable_request(record);
    else if (record.event == "gateway_started" || record.event == "configuration_in_force")
        this->note_failure_domain(record.box, record);
    else if (record.event == "log_lines_dropped" && this->window.contains(record.time))
        this->lines_dropped += static_cast<std::uint64_t>(record.number("count").value_or(0));
}

void WindowSummary::finish()
{
    this->open.drop_all();
}

void WindowSummary::add_placement(LogRecord const& record)
{
    bool const is_forwarded = record.event == "request_forwarded";
    bool const is_inside = this->window.contains(record.time);
    if (is_forwarded) {
        this->note_failure_domain(record.value("to_box").value_or(""), record);
        this->forwarded_requests += is_inside ? 1 : 0;
    }
    auto const id = record.value("id");
    if (!id || (!is_forwarded && !record.value("endpoint"))) {
        this->reject(record, "no id or endpoint");
        return;
    }
    // NOTE: A request from another box ends for its client at that box, whose log tells of it.
    if (id->empty() || record.value("from_box") == "yes")
        return;
    auto const left = std::min(
        record.number("left_ms").value_or(max_time_left.count()), static_cast<double>(max_time_left.count()));
    auto const expires = record.time + milliseconds(static_cast<std::int64_t>(left)) + end_grace;
    this->open.begin(*id, expires, { record.value("account"), is_inside });
}

void WindowSummary::add_attempt(LogRecord const& record)
{
    if (!this->window.contains(record.time))
        return;
    auto const endpoint = record.value("endpoint");
    auto const result = record.value("result");
    auto const status = record.number("status");
    if (!endpoint || !result || !status) {
        this->reject(record, "no endpoint, result or status");
        return;
    }
    // NOTE: Boxes of earlier versions tell only by this detail that the client left.
    bool const is_cancelled
        = record.value("cancelled_by") || record.value("detail") == "connection to the client broke";
    count_attempt(this->by_endpoint.row(*endpoint), *result, *status, is_cancelled);
}

void WindowSummary::add_end(LogRecord const& record)
{
    auto const route = record.value("route");
    auto const reason = record.value("reason");
    auto const status = record.number("status");
    auto const took = record.number("took_ms");
    if (!route || !reason || !status || !took) {
        this->reject(record, "no route, reason, status or took_ms");
        return;
    }
    auto const from_box = record.value("from_box");
    if (from_box == "yes")
        return;
    auto const placed = this->open.end(record.value("id").value_or(""));
    if (!this->window.contains(record.time)) {
        bool const ends_later = placed && placed->began_in_window && record.time >= this->window.to;
        this->requests_ended_later += ends_later ? 1 : 0;
        return;
    }
    this->ends_of_unknown_origin += from_box ? 0 : 1;
    auto account = record.value("account");
    if (!account && placed)
        account = placed->account;
    auto const end = end_of(*status, *reason, record.value("client_left") == "yes");
    this->count_request(record, account.value_or(std::string(not_told)), counts_of(record, end, *took, *reason));
}

void WindowSummary::add_unreadable_request(LogRecord const& record)
{
    if (!this->window.contains(record.time))
        return;
    RequestCounts counts;
    counts.refused = 1;
    counts.refused_by_reason.row(record.value("reason").value_or(std::string(not_told))) = 1;
    this->count_request(record, std::string(not_told), counts);
}

void WindowSummary::count_request(LogRecord const& record, std::string const& account, RequestCounts const& counts)
{
    this->all_requests.add(counts);
    this->by_route.row(record.value("route").value_or("none")).add(counts);
    this->by_account.row(account.empty() ? std::string(no_account) : account).add(counts);
    this->by_box.row(record.box).add(counts);
}

void WindowSummary::note_failure_domain(std::string const& box, LogRecord const& record)
{
    auto const domain = record.value("failure_domain");
    if (domain && !box.empty())
        this->domain_of_box.row(box) = domain->substr(0, BoundedRows<std::string>::max_name_bytes);
}

void WindowSummary::reject(LogRecord const& record, std::string_view reason)
{
    this->unreadable.get().add(record.file, record.line, reason, "event=" + record.event);
}

std::map<std::string, RequestCounts> WindowSummary::failure_domains() const
{
    std::map<std::string, RequestCounts> domains;
    for (auto const& [box, counts] : this->by_box.all()) {
        auto const domain = this->domain_of_box.all().find(box);
        bool const is_told = domain != this->domain_of_box.all().end();
        domains[is_told ? domain->second : std::string(not_told)].add(counts);
    }
    return domains;
}
