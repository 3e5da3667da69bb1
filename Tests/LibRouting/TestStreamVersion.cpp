#include <TestMain.h>

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <set>

namespace {

using namespace Routing;
using std::chrono::seconds;

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

/// A box before two endpoints of each of two software versions.
struct Box {
    Box()
        : router(RouterSettings { "hall", { seconds(200), seconds(500) }, {}, {} }, 7)
    {
        Configuration contents;
        contents.version = 1;
        contents.routes = { route_to_desk("/", RouteKind::Idempotent, 3) };
        contents.services = { { "desk", 96, {} } };
        this->router.offer_configuration(
            std::make_shared<ConfigurationSnapshot const>(std::move(contents)), at(seconds(0)));
        for (auto const* name : { "old-1", "old-2" })
            this->put(name, "v1");
        for (auto const* name : { "new-1", "new-2" })
            this->put(name, "v1.2");
    }

    void put(std::string const& name, std::string const& version, bool is_draining = false)
    {
        EndpointRecord record { name, "desk", { "10.0.0.1", 80 }, "hall", 6, is_draining };
        record.version = version;
        this->router.put_endpoint(record, at(seconds(0)));
    }

    [[nodiscard]] Admitted admit()
    {
        return std::get<Admitted>(this->router.admit({ "attempt", "h", "/x", "", seconds(1), {} }, at(seconds(1))));
    }

    /// The versions of the endpoints at which a request is tried one after another, and why it ends.
    std::pair<std::multiset<std::string>, Reason> versions_tried(Admitted const& request)
    {
        std::multiset<std::string> versions;
        std::vector<EndpointId> tried;
        for (;;) {
            auto const decision = this->router.place(request, {}, tried, at(seconds(1)));
            if (auto const* const rejected = std::get_if<Rejected>(&decision))
                return { versions, rejected->reason };
            auto const& placed = std::get<Placed>(decision);
            versions.insert(placed.endpoint.version);
            tried.push_back(placed.choice.endpoint);
        }
    }

    RequestRouter router;
};

}

TEST_CASE("a request that has begun no stream is tried at endpoints of all versions")
{
    Box box;
    CHECK(box.versions_tried(box.admit()).first == std::multiset<std::string> { "v1", "v1", "v1.2", "v1.2" });
}

TEST_CASE("a stream is continued only at the service and the version that began it")
{
    Box box;
    auto request = box.admit();
    CHECK_FALSE(RequestRouter::restrict_to_origin(request, { "other", "v1" }));
    CHECK_FALSE(request.stream_version);
    CHECK(RequestRouter::restrict_to_origin(request, { "desk", "v1" }));
    auto const [versions, reason] = box.versions_tried(request);
    CHECK(versions == std::multiset<std::string> { "v1", "v1" });
    CHECK(reason == Reason::NoEndpointOfVersion);
    box.put("old-1", "v1", true);
    CHECK(box.versions_tried(request).first == std::multiset<std::string> { "v1" });
}

TEST_CASE("a service has only one version while no endpoint of another is known, even a draining one")
{
    Box box;
    box.router.confirm_endpoints(at(seconds(1)));
    auto const only_version = [&](std::string const& service, Duration since) {
        return box.router.only_version(service, at(since), at(seconds(2)));
    };
    CHECK_FALSE(only_version("desk", seconds(0)));
    CHECK_FALSE(only_version("other", seconds(0)));
    for (auto const* name : { "old-1", "old-2" })
        box.put(name, "v1", true);
    CHECK_FALSE(only_version("desk", seconds(0)));
    for (auto const* name : { "old-1", "old-2" })
        box.router.remove_endpoint(name, at(seconds(1)));
    // A stream that began before may be of a version that has left.
    CHECK_FALSE(only_version("desk", seconds(1)));
    CHECK(only_version("desk", std::chrono::milliseconds(1001)) == "v1.2");
    EndpointRecord record { "new-3", "desk", { "10.0.0.1", 80 }, "hall", 6, false };
    record.version = "v2";
    box.router.put_endpoint(record, at(std::chrono::milliseconds(1500)));
    CHECK_FALSE(only_version("desk", std::chrono::milliseconds(1900)));
}

// Guards against streams that go on at two software versions: a box that was cut off, or stood still, has a list
// without the endpoints that joined meanwhile, and takes the only version that it knows for the one which began the
// stream.
TEST_CASE("a list that was read too long ago doesn't tell the only version")
{
    Box box;
    for (auto const* name : { "old-1", "old-2" })
        box.router.remove_endpoint(name, at(seconds(0)));
    auto const only_version
        = [&](Duration now) { return box.router.only_version("desk", at(std::chrono::milliseconds(1)), at(now)); };
    CHECK_FALSE(only_version(seconds(1)));
    box.router.confirm_endpoints(at(seconds(1)));
    CHECK(only_version(seconds(2)) == "v1.2");
    CHECK_FALSE(only_version(std::chrono::milliseconds(2001)));
    box.router.confirm_endpoints(at(seconds(9)));
    CHECK(only_version(seconds(9)) == "v1.2");
    box.router.mark_endpoints_uncertain();
    CHECK_FALSE(only_version(seconds(9)));
}

// Guards against streams that go on at two software versions: an endpoint starts again with another version while the
// store is away, and the box still has the entry of the process before it.
TEST_CASE("a stream is not continued at an endpoint whose listed process has ended, nor is one begun there")
{
    Box box;
    auto request = box.admit();
    REQUIRE(RequestRouter::restrict_to_origin(request, { "desk", "v1" }));
    REQUIRE(box.router.endpoint_ended({ "old-1", 0 }, at(seconds(1))));
    CHECK(box.versions_tried(request).first == std::multiset<std::string> { "v1" });
    CHECK(box.versions_tried(box.admit()).first == std::multiset<std::string> { "", "v1", "v1.2", "v1.2" });
    SUBCASE("until its entry has been listed for some seconds")
    {
        for (int second = 1; second <= 5; ++second)
            box.router.confirm_endpoints(at(seconds(second)));
        CHECK(box.versions_tried(request).first == std::multiset<std::string> { "v1", "v1" });
    }
    SUBCASE("until it is listed with another version")
    {
        box.put("old-1", "v1.2");
        CHECK(box.versions_tried(request).first == std::multiset<std::string> { "v1" });
        CHECK(box.versions_tried(box.admit()).first == std::multiset<std::string> { "v1", "v1.2", "v1.2", "v1.2" });
    }
    SUBCASE("which does not concern another process under its id")
    {
        CHECK_FALSE(box.router.endpoint_ended({ "old-2", 1234 }, at(seconds(1))));
        CHECK(box.versions_tried(request).first == std::multiset<std::string> { "v1" });
    }
}
