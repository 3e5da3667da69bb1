#include <LibMembership/EndpointNewsMessage.h>

#include <LibMembership/EndpointLifeWire.h>
#include <algorithm>
#include <cmath>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

bool is_sound(wire::EndpointNotice const& told)
{
    bool const is_limit_sound
        = !told.has_limit_per_s() || (std::isfinite(told.limit_per_s()) && told.limit_per_s() >= 0);
    return is_limit_sound && told.version() > 0 && is_sound_life(told.endpoint());
}

Routing::EndpointNotice read(wire::EndpointNotice const& told, Core::Instant now)
{
    /// Nothing depends on how much longer ago something was said.
    constexpr std::uint64_t longest = std::chrono::microseconds(std::chrono::hours(24)).count();
    Core::Duration const age { static_cast<Core::Duration::rep>(std::min(told.told_us_ago(), longest)) };
    Routing::EndpointNotice notice { read_life(told.endpoint()), told.version(), { {}, told.is_draining() },
        now - age };
    if (told.has_limit_per_s())
        notice.condition.limit.per_second = told.limit_per_s();
    return notice;
}

}

std::string encode(EndpointNewsMessage const& message, Core::Instant now)
{
    wire::EndpointNews encoded;
    encoded.set_asks(message.asks);
    for (auto const& notice : message.notices) {
        auto& told = *encoded.add_notices();
        write_life(*told.mutable_endpoint(), notice.endpoint);
        told.set_version(notice.version);
        auto const& [limit, is_draining] = notice.condition;
        if (limit.per_second)
            told.set_limit_per_s(*limit.per_second);
        told.set_is_draining(is_draining);
        told.set_told_us_ago(
            static_cast<std::uint64_t>(std::max<Core::Duration::rep>((now - notice.reported_at).count(), 0)));
    }
    return encoded.SerializeAsString();
}

std::optional<EndpointNewsMessage> decode_endpoint_news(std::string_view bytes, Core::Instant now)
{
    wire::EndpointNews told;
    if (!told.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    if (told.notices_size() > static_cast<int>(most_notices_in_message)
        || !std::ranges::all_of(told.notices(), [](auto const& notice) { return is_sound(notice); }))
        return {};
    EndpointNewsMessage message;
    message.asks = told.asks();
    for (auto const& notice : told.notices())
        message.notices.push_back(read(notice, now));
    if (message == EndpointNewsMessage {})
        return {};
    return message;
}

}
