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

Routing::EndpointNotice read(wire::EndpointNotice const& wire_message, Core::Instant now)
{
    /// Greater ages make no difference.
    constexpr std::uint64_t max_age = std::chrono::microseconds(std::chrono::hours(24)).count();
    Core::Duration const age { static_cast<Core::Duration::rep>(std::min(wire_message.told_us_ago(), max_age)) };
    Routing::EndpointNotice notice { read_instance(wire_message.endpoint()), wire_message.version(),
        { {}, wire_message.is_draining() }, now - age };
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
        wire_message.set_told_us_ago(
            static_cast<std::uint64_t>(std::max<Core::Duration::rep>((now - notice.reported_at).count(), 0)));
    }
    return encoded.SerializeAsString();
}

std::optional<EndpointNoticeMessage> decode_endpoint_notices(std::string_view bytes, Core::Instant now)
{
    wire::EndpointNews wire_message;
    if (!wire_message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    if (wire_message.notices_size() > static_cast<int>(max_notices_per_message)
        || !std::ranges::all_of(wire_message.notices(), [](auto const& notice) { return is_valid(notice); }))
        return {};
    EndpointNoticeMessage message;
    message.requests_all = wire_message.asks();
    for (auto const& notice : wire_message.notices())
        message.notices.push_back(read(notice, now));
    if (message == EndpointNoticeMessage {})
        return {};
    return message;
}

}
