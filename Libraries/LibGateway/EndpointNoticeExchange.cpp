#include <LibGateway/EndpointNoticeExchange.h>

#include <LibLog/EventLog.h>
#include <fmt/format.h>

namespace Gateway {

using Core::monotonic_now;
using Membership::EndpointNoticeMessage;
using Membership::max_notices_per_message;

namespace {

void log_change(Routing::EndpointNotice const& notice, std::string_view origin)
{
    auto const& [limit, is_draining] = notice.condition;
    Log::EventLine("endpoint_notice")
        .with("endpoint", notice.endpoint.incarnation)
        .with("version", notice.version)
        .with("limit_per_s", limit.per_second ? fmt::format("{}", *limit.per_second) : "none")
        .with("draining", is_draining ? "yes" : "no")
        .with("told_by", origin)
        .info();
}

void log_rejection(Routing::EndpointRejection const& rejection, std::string_view origin)
{
    Log::EventLine("brittle_endpoint_rejected")
        .with("endpoint", rejection.endpoint.incarnation)
        .with("max_rejections_per_s", rejection.max_rejections)
        .with("ms_ago", Core::to_milliseconds(monotonic_now() - rejection.at))
        .with("told_by", origin)
        .info();
}

/// Calls `send` with as many messages as it takes to hold all notices.
template <typename Send> void send_in_messages(std::vector<Routing::EndpointNotice> const& notices, Send send)
{
    for (std::size_t first = 0; first < notices.size(); first += max_notices_per_message) {
        auto const end = std::min(first + max_notices_per_message, notices.size());
        EndpointNoticeMessage message;
        message.notices.assign(
            notices.begin() + static_cast<std::ptrdiff_t>(first), notices.begin() + static_cast<std::ptrdiff_t>(end));
        send(Membership::encode(message, monotonic_now()));
    }
}

}

void EndpointNoticeExchange::request_notices() const
{
    if (this->to_boxes)
        this->to_boxes(Membership::encode({ {}, true, {} }, monotonic_now()), some_boxes);
}

Task<void> EndpointNoticeExchange::run()
{
    for (;;) {
        co_await sleep_for(send_interval);
        this->send_some();
    }
}

void EndpointNoticeExchange::send_some()
{
    auto const notices = this->router.active_notices(monotonic_now());
    if (notices.empty() || !this->to_boxes)
        return;
    EndpointNoticeMessage message;
    for (std::size_t number = 0; number < std::min(notices.size(), max_notices_per_message); ++number)
        message.notices.push_back(notices[this->next_sent++ % notices.size()]);
    this->to_boxes(Membership::encode(message, monotonic_now()), some_boxes);
}

void EndpointNoticeExchange::endpoint_answered(
    Routing::Placed const& placed, Routing::RequestRouter::EndpointReport const& report, Core::Instant sent_at)
{
    auto const change = this->router.record_answer(placed, report, sent_at, monotonic_now());
    if (change.backoff_began)
        Log::EventLine("endpoint_backoff")
            .with("endpoint", placed.endpoint.incarnation)
            .with("backoff_s", Core::to_seconds(*report.backoff))
            .info();
    if (change.rejection)
        this->report_rejection(*change.rejection);
    if (!change.notice)
        return;
    log_change(*change.notice, "own");
    if (this->to_boxes)
        this->to_boxes(Membership::encode({ { *change.notice }, false, {} }, monotonic_now()), all_boxes);
}

void EndpointNoticeExchange::report_rejection(Routing::EndpointRejection const& rejection) const
{
    log_rejection(rejection, "own");
    if (this->to_boxes)
        this->to_boxes(Membership::encode({ {}, false, { rejection } }, monotonic_now()), all_boxes);
}

void EndpointNoticeExchange::receive(EndpointNoticeMessage const& message, Reply const& reply)
{
    auto const now = monotonic_now();
    for (auto const& notice : message.notices) {
        if (this->router.apply_notice(notice, now))
            log_change(notice, "box");
    }
    for (auto const& rejection : message.rejections) {
        if (this->router.apply_rejection(rejection))
            log_rejection(rejection, "box");
    }
    if (message.requests_all)
        send_in_messages(this->router.active_notices(now), reply);
}

}
