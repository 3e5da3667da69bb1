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

Routing::EndpointNotice read(wire::EndpointNotice const& told)
{
    Routing::EndpointNotice notice { read_life(told.endpoint()), told.version(), {} };
    if (told.has_limit_per_s())
        notice.limit.per_second = told.limit_per_s();
    return notice;
}

}

std::string encode(EndpointNewsMessage const& message)
{
    wire::EndpointNews encoded;
    encoded.set_asks(message.asks);
    for (auto const& notice : message.notices) {
        auto& told = *encoded.add_notices();
        write_life(*told.mutable_endpoint(), notice.endpoint);
        told.set_version(notice.version);
        if (notice.limit.per_second)
            told.set_limit_per_s(*notice.limit.per_second);
    }
    return encoded.SerializeAsString();
}

std::optional<EndpointNewsMessage> decode_endpoint_news(std::string_view bytes)
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
        message.notices.push_back(read(notice));
    if (message == EndpointNewsMessage {})
        return {};
    return message;
}

}
