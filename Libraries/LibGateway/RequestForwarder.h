#pragma once

#include <LibGateway/EndpointConnections.h>
#include <LibMembership/ForwardedRequest.h>
#include <LibMembership/ForwardingTargets.h>
#include <LibRouting/RequestRouter.h>

#include <pcg_random.hpp>

namespace Gateway {

/// The way to the endpoints by other boxes, for a box that is cut off from them: which box to ask, the connections to
/// these boxes, and what their answers show of the configuration.
class RequestForwarder {
public:
    RequestForwarder(asio::io_context& context, Routing::RequestRouter& router, std::uint64_t seed)
        : router(router)
        , box_connections(context)
        , random(seed)
    {
    }

    /// Until this is called, there is no other box.
    void set_boxes(Membership::BoxDirectory const& known, std::string own_name);

    /// A box for the request that is not in `asked`; nothing if there is none.
    [[nodiscard]] std::optional<Membership::BoxRecord> choose(
        Routing::Admitted const& request, std::vector<std::string> const& asked, Core::Instant now);
    void mark_unable(std::string const& box, Core::Instant now) { this->targets.mark_unable(box, now); }
    void mark_able(std::string const& box) { this->targets.mark_able(box); }

    /// A box answered with this version of the configuration in force.
    void note_configuration(std::uint64_t version, Core::Instant now);
    /// The version that a box needs to serve a request which was admitted with `admitted`. Later requests of a client
    /// must not be served by an earlier version.
    [[nodiscard]] std::uint64_t min_configuration(std::uint64_t admitted, Core::Instant now) const;

    /// What the box that forwarded a request has to know of this box's answer, as the value of a header. `refusal` is
    /// unset if the answer is that of an endpoint whose software has this version.
    [[nodiscard]] std::string answer_details(std::optional<Core::Reason> refusal,
        std::optional<Core::Duration> retry_after, std::string const& version = {}) const;

    [[nodiscard]] EndpointConnections& connections() { return this->box_connections; }
    /// Identifies the box in connections().
    [[nodiscard]] EndpointId connection_id(std::string const& box);

private:
    /// How long a version seen at another box counts: this box gets it itself long before.
    static constexpr Core::Duration version_validity { std::chrono::seconds(10) };

    Routing::RequestRouter& router;
    EndpointConnections box_connections;
    pcg32 random;
    Membership::BoxDirectory const* boxes { nullptr };
    std::string own_name;
    Membership::ForwardingTargets targets;
    std::map<std::string, EndpointId> ids;
    std::uint64_t seen_version { 0 };
    Core::Instant version_seen_at;
};

}
