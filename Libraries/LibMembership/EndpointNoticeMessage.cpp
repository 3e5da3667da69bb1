#include <LibMembership/EndpointNoticeMessage.h>

#include <LibMembership/EndpointInstanceWire.h>
#include <algorithm>
#include <cmath>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

bool is_valid(wire::EndpointNotice const& wire_message)
{
    bool const is_valid_limit = !wire_message.has_limit_per_s()
        || (std::isfinite(wire_message.limit_per_s()) && wire_message.limit_per_s() >= 0);
    return is_valid_limit && wire_message.version() > 0 && is_valid_instance(wire_message.endpoint());
}

bool is_valid(wire::EndpointRejection const& wire_message)
{
    return std::isfinite(wire_message.max_per_s()) && wire_message.max_per_s() >= 0
        && is_valid_instance(wire_message.endpoint());
}

Core::Instant moment_from_age(std::uint64_t microseconds, Core::Instant now)
{
    /// Greater ages make no difference.
    constexpr std::uint64_t max_age = std::chrono::microseconds(std::chrono::hours(24)).count();
    return now - Core::Duration(static_cast<Core::Duration::rep>(std::min(microseconds, max_age)));
}

std::uint64_t age_of(Core::Instant moment, Core::Instant now)
{
    return static_cast<std::uint64_t>(std::max<Core::Duration::rep>((now - moment).count(), 0));
}

Routing::EndpointNotice read(wire::EndpointNotice const& wire_message, Core::Instant now)
{
    Routing::EndpointNotice notice { read_instance(wire_message.endpoint()), wire_message.version(),
        { {}, wire_message.is_draining() }, moment_from_age(wire_message.told_us_ago(), now) };
    if (wire_message.has_limit_per_s())
        notice.condition.limit.per_second = wire_message.limit_per_s();
    return notice;
}

}

std::string encode(EndpointNoticeMessage const& message, Core::Instant now)
{
    wire::EndpointNews encoded;
    encoded.set_asks(message.requests_all);
    for (auto const& notice : message.notices) {
        auto& wire_message = *encoded.add_notices();
        write_instance(*wire_message.mutable_endpoint(), notice.endpoint);
        wire_message.set_version(notice.version);
        auto const& [limit, is_draining] = notice.condition;
        if (limit.per_second)
            wire_message.set_limit_per_s(*limit.per_second);
        wire_message.set_is_draining(is_draining);
        wire_message.set_told_us_ago(age_of(notice.reported_at, now));
    }
    for (auto const& rejection : message.rejections) {
        auto& wire_message = *encoded.add_rejections();
        write_instance(*wire_message.mutable_endpoint(), rejection.endpoint);
        wire_message.set_max_per_s(rejection.max_rejections);
        wire_message.set_age_us(age_of(rejection.at, now));
    }
    return encoded.SerializeAsString();
}

std::optional<EndpointNoticeMessage> decode_endpoint_notices(std::string_view bytes, Core::Instant now)
{
    wire::EndpointNews wire_message;
    if (!wire_message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    bool const are_rejections_valid = wire_message.rejections_size() <= static_cast<int>(max_notices_per_message)
        && std::ranges::all_of(wire_message.rejections(), [](auto const& rejection) { return is_valid(rejection); });
    if (!are_rejections_valid || wire_message.notices_size() > static_cast<int>(max_notices_per_message)
        || !std::ranges::all_of(wire_message.notices(), [](auto const& notice) { return is_valid(notice); }))
        return {};
    EndpointNoticeMessage message;
    message.requests_all = wire_message.asks();
    for (auto const& notice : wire_message.notices())
        message.notices.push_back(read(notice, now));
    for (auto const& rejection : wire_message.rejections())
        message.rejections.push_back(
            { read_instance(rejection.endpoint()), rejection.max_per_s(), moment_from_age(rejection.age_us(), now) });
    if (message == EndpointNoticeMessage {})
        return {};
    return message;
}

}
