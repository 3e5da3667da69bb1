#include <LibGateway/RequestForwarder.h>

namespace Gateway {

void RequestForwarder::set_boxes(Membership::BoxDirectory const& known, std::string own_name)
{
    this->boxes = &known;
    this->own_name = std::move(own_name);
}

std::optional<Membership::BoxRecord> RequestForwarder::choose(
    Routing::Admitted const& request, std::vector<std::string> const& asked, Core::Instant now)
{
    if (this->boxes == nullptr)
        return {};
    auto const is_allowed = [&](auto const& domain) { return this->router.may_pass_through(request, domain); };
    auto const draw = [this](std::size_t limit) { return this->random(static_cast<std::uint32_t>(limit)); };
    return this->targets.choose(*this->boxes, this->own_name, asked, is_allowed, draw, now);
}

void RequestForwarder::note_configuration(std::uint64_t version, Core::Instant now)
{
    bool const is_outdated = now - this->version_seen_at > version_validity;
    if (version < this->seen_version && !is_outdated)
        return;
    this->seen_version = version;
    this->version_seen_at = now;
}

std::uint64_t RequestForwarder::min_configuration(std::uint64_t admitted, Core::Instant now) const
{
    bool const is_outdated = now - this->version_seen_at > version_validity;
    return is_outdated ? admitted : std::max(admitted, this->seen_version);
}

std::string RequestForwarder::answer_details(
    std::optional<Core::Reason> refusal, std::optional<Core::Duration> retry_after, std::string const& version) const
{
    auto const configuration = this->router.configuration();
    return Membership::encode(
        Membership::ForwardedAnswer { configuration ? configuration->version() : 0, refusal, retry_after, version });
}

EndpointId RequestForwarder::connection_id(std::string const& box)
{
    auto const next = static_cast<std::uint32_t>(this->ids.size() + 1);
    return this->ids.try_emplace(box, EndpointId { next }).first->second;
}

}
