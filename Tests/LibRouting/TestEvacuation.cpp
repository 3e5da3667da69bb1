#include <TestMain.h>

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <set>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

/// A box before one endpoint in each of three failure domains; "north" and "south" are in one region, "far" in another.
struct Box {
    Box()
        : router(settings(), 7)
    {
        this->configure({}, {});
        for (auto const* domain : { "north", "south", "far" })
            this->router.put_endpoint({ domain, "desk", { "10.0.0.1", 80 }, domain, 6, false }, at(seconds(0)));
    }

    static RouterSettings settings()
    {
        RouterSettings settings;
        settings.failure_domain = "north";
        settings.lease = { seconds(200), seconds(500) };
        settings.domain_regions = { { "north", "home" }, { "south", "home" }, { "far", "abroad" } };
        return settings;
    }

    void configure(std::vector<std::string> of_route, std::vector<std::string> of_account)
    {
        Configuration contents;
        contents.version = ++this->version;
        auto route = route_to_desk("/", RouteKind::Idempotent, 3);
        route.allowed_regions = std::move(of_route);
        contents.routes = { route };
        contents.services = { { "desk", 96, {} } };
        contents.accounts = { { "account", { "k" }, 0, std::move(of_account) } };
        this->router.offer_configuration(
            std::make_shared<ConfigurationSnapshot const>(std::move(contents)), at(seconds(0)));
    }

    [[nodiscard]] Admitted admit(Instant now)
    {
        return std::get<Admitted>(this->router.admit({ "attempt", "h", "/x", "k", seconds(1), {} }, now));
    }

    /// The failure domains in which a request is tried one after another.
    std::set<std::string> domains_tried(Instant now)
    {
        std::set<std::string> domains;
        auto const request = this->admit(now);
        std::vector<EndpointId> tried;
        for (;;) {
            auto const decision = this->router.place(request, {}, tried, now);
            auto const* const placed = std::get_if<Placed>(&decision);
            if (placed == nullptr)
                return domains;
            domains.insert(placed->endpoint.failure_domain);
            tried.push_back(placed->choice.endpoint);
        }
    }

    [[nodiscard]] Rejected refusal(Instant now)
    {
        return std::get<Rejected>(this->router.place(this->admit(now), {}, {}, now));
    }

    RequestRouter router;
    std::uint64_t version { 0 };
};

using Domains = std::set<std::string>;

}

TEST_CASE("an evacuated failure domain gets no request, first try or retry, until its evacuation ends")
{
    Box box;
    box.router.set_evacuated_domains({ "north" }, at(seconds(1)));
    CHECK(box.domains_tried(at(seconds(1))) == Domains { "south", "far" });
    box.router.set_evacuated_domains({ "north", "far" }, at(seconds(2)));
    CHECK(box.domains_tried(at(seconds(2))) == Domains { "south" });
    box.router.set_evacuated_domains({}, at(seconds(3)));
    CHECK(box.domains_tried(at(seconds(3))) == Domains { "north", "south", "far" });
}

TEST_CASE("a request whose endpoint is evacuated while the box connects to it is not sent")
{
    Box box;
    auto const placed = std::get<Placed>(box.router.place(box.admit(at(seconds(1))), {}, {}, at(seconds(1))));
    CHECK(box.router.may_send(placed, at(seconds(1))));
    box.router.set_evacuated_domains({ placed.endpoint.failure_domain }, at(seconds(1)));
    CHECK(!box.router.may_receive(placed.choice.endpoint, at(seconds(1))));
    CHECK(!box.router.may_send(placed, at(seconds(1))));
}

TEST_CASE("when all failure domains are evacuated, requests are refused with that reason and a time to retry")
{
    Box box;
    box.router.set_evacuated_domains({ "north", "south", "far" }, at(seconds(1)));
    CHECK(box.refusal(at(seconds(1))).reason == Reason::EndpointsEvacuated);
    CHECK(box.refusal(at(seconds(1))).retry_after.has_value());
}

TEST_CASE("a request goes only to regions that its route and its account both allow")
{
    Box box;
    box.configure({ "home" }, {});
    CHECK(box.domains_tried(at(seconds(1))) == Domains { "north", "south" });
    box.configure({}, { "abroad" });
    CHECK(box.domains_tried(at(seconds(1))) == Domains { "far" });
    box.configure({ "home", "abroad" }, { "abroad" });
    CHECK(box.domains_tried(at(seconds(1))) == Domains { "far" });
    box.configure({ "home" }, { "abroad" });
    CHECK(box.refusal(at(seconds(1))).reason == Reason::NoEndpointInRegion);
    CHECK(box.refusal(at(seconds(1))).retry_after.has_value());
}

TEST_CASE("a region that no failure domain is in allows no endpoint")
{
    Box box;
    box.configure({ "nowhere" }, {});
    CHECK(box.refusal(at(seconds(1))).reason == Reason::NoEndpointInRegion);
}

TEST_CASE("an endpoint in a failure domain of unknown region gets no request that is bound to regions")
{
    Box box;
    box.router.put_endpoint({ "else", "desk", { "10.0.0.9", 80 }, "unlisted", 6, false }, at(seconds(0)));
    box.configure({ "home" }, {});
    CHECK(box.domains_tried(at(seconds(1))) == Domains { "north", "south" });
}

TEST_CASE("a request that a region's endpoints can't take is not sent elsewhere")
{
    Box box;
    box.configure({ "home" }, {});
    box.router.set_evacuated_domains({ "north", "south" }, at(seconds(1)));
    CHECK(box.refusal(at(seconds(1))).reason == Reason::NoEndpointInRegion);
}
