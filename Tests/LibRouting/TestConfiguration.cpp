#include <TestMain.h>

#include <LibRouting/ConfigurationLease.h>

#include <algorithm>
#include <random>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Route route_to(std::string host, std::string prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.path_prefix = std::move(prefix);
    return route;
}

SharedConfiguration version(std::uint64_t number)
{
    Configuration configuration;
    configuration.version = number;
    return std::make_shared<ConfigurationSnapshot const>(std::move(configuration));
}

/// Routes with few distinct letters, so that some prefixes begin others and hosts are equal or differ in case only.
Configuration random_configuration(std::mt19937_64& random)
{
    static constexpr std::array hosts { "h.example", "H.Example", "other.example", "o", "" };
    static constexpr std::array prefixes { "", "a/", "b/", "a/b/", "ab/", "a/a/", "a//", "b/a/a/" };
    static constexpr std::array services { "s1", "s2", "s3" };
    Configuration configuration;
    for (auto count = random() % 20; count > 0; --count) {
        auto route = route_to(hosts.at(random() % hosts.size()), "/");
        route.path_prefix += prefixes.at(random() % prefixes.size());
        route.path_prefix += prefixes.at(random() % prefixes.size());
        route.priority = static_cast<unsigned>(random() % 5);
        route.goal = milliseconds(random() % 1000);
        for (auto shares = random() % 4; shares > 0; --shares)
            route.services.push_back({ services.at(random() % services.size()), 1 });
        configuration.routes.push_back(std::move(route));
    }
    return configuration;
}

std::string lower_case(std::string text)
{
    std::ranges::transform(
        text, text.begin(), [](unsigned char sign) { return static_cast<char>(std::tolower(sign)); });
    return text;
}

/// The first of the routes with the longest prefix.
Route const* scan_for_route(Configuration const& configuration, std::string const& host, std::string const& path)
{
    Route const* longest = nullptr;
    for (auto const& route : configuration.routes) {
        bool const fits = lower_case(route.host) == lower_case(host) && path.starts_with(route.path_prefix);
        if (fits && (!longest || route.path_prefix.size() > longest->path_prefix.size()))
            longest = &route;
    }
    return longest;
}

Duration scan_for_longest_goal(Configuration const& configuration, std::string_view service, unsigned priority)
{
    Duration longest { 0 };
    for (auto const& route : configuration.routes) {
        bool const is_served_there
            = std::ranges::any_of(route.services, [&](ServiceShare const& share) { return share.service == service; });
        if (is_served_there && route.priority >= priority)
            longest = std::max(longest, route.goal);
    }
    return longest;
}

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

}

TEST_CASE("the route with the longest matching prefix is found")
{
    Configuration configuration;
    configuration.routes = { route_to("h.example", "/"), route_to("h.example", "/a/"), route_to("h.example", "/a/b/"),
        route_to("other.example", "/a/b/c/") };
    ConfigurationSnapshot const snapshot(std::move(configuration));
    CHECK(snapshot.find_route("h.example", "/a/b/c/d?x=/z/")->path_prefix == "/a/b/");
    CHECK(snapshot.find_route("H.Example:8080", "/a/bc")->path_prefix == "/a/");
    CHECK(snapshot.find_route("h.example", "/")->path_prefix == "/");
    CHECK(snapshot.find_route("h.example", "/ab")->path_prefix == "/");
    CHECK(snapshot.find_route("other.example", "/a/b/") == nullptr);
    CHECK(snapshot.find_route("nowhere.example", "/a/") == nullptr);
    CHECK(snapshot.find_route("h.example", "") == nullptr);
}

TEST_CASE("route lookup agrees with a scan of all routes")
{
    static constexpr std::string_view signs = "ab//";
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        ConfigurationSnapshot const snapshot(random_configuration(random));
        for (std::size_t tries = 0; tries < 50; ++tries) {
            static constexpr std::array hosts { "h.example", "H.EXAMPLE", "other.example", "O", "", "nowhere" };
            std::string const host = hosts.at(random() % hosts.size());
            std::string path = "/";
            for (auto size = random() % 10; size > 0; --size)
                path += signs[random() % signs.size()];
            CAPTURE(host);
            CAPTURE(path);
            auto const* const expected = scan_for_route(snapshot.configuration(), host, path);
            found += expected ? 1 : 0;
            CHECK(snapshot.find_route(host, path) == expected);
            CHECK(snapshot.find_route(host + ":8080", path + "?/a/b/") == expected);
        }
    }
    CHECK(found > 1000);
}

TEST_CASE("the longest goal agrees with a scan of all routes")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        ConfigurationSnapshot const snapshot(random_configuration(random));
        for (auto const* service : { "s1", "s2", "s3", "s4", "" }) {
            for (unsigned priority = 0; priority < 7; ++priority)
                CHECK(snapshot.longest_goal(service, priority)
                    == scan_for_longest_goal(snapshot.configuration(), service, priority));
        }
    }
}

TEST_CASE("an API key is found in its account")
{
    Configuration configuration;
    configuration.accounts = { { "first", { "k1", "k2" }, 1 }, { "second", { "k3" }, {} } };
    ConfigurationSnapshot const snapshot(std::move(configuration));
    CHECK(snapshot.find_account("k2")->name == "first");
    CHECK(snapshot.find_account("k3")->name == "second");
    CHECK(snapshot.find_account("k4") == nullptr);
    CHECK(snapshot.find_account("") == nullptr);
}

TEST_CASE("a lease never goes back to an older version")
{
    ConfigurationLease lease({ seconds(2), seconds(5) });
    CHECK(lease.freshness(at(seconds(0))) == ConfigurationFreshness::Missing);
    CHECK(lease.offer(version(7), at(seconds(0))));
    CHECK_FALSE(lease.offer(version(5), at(seconds(1))));
    CHECK_FALSE(lease.offer(version(7), at(seconds(1))));
    CHECK(lease.current()->version() == 7);
    CHECK(lease.offer(version(9), at(seconds(1))));
    CHECK(lease.current()->version() == 9);
}

TEST_CASE("a lease ages until the store confirms the version again")
{
    ConfigurationLease lease({ seconds(2), seconds(5) });
    static_cast<void>(lease.offer(version(1), at(seconds(0))));
    CHECK(lease.freshness(at(seconds(3))) == ConfigurationFreshness::Fresh);
    CHECK(lease.freshness(at(milliseconds(3001))) == ConfigurationFreshness::Aging);
    CHECK(lease.freshness(at(milliseconds(4499))) == ConfigurationFreshness::Aging);
    CHECK(lease.freshness(at(milliseconds(4501))) == ConfigurationFreshness::Expired);
    lease.confirm(at(seconds(4)));
    CHECK(lease.freshness(at(seconds(7))) == ConfigurationFreshness::Fresh);
    // A late answer to an earlier read confirms nothing new.
    lease.confirm(at(seconds(3)));
    CHECK(lease.freshness(at(seconds(7))) == ConfigurationFreshness::Fresh);
}

TEST_CASE("a lease without a revocation limit never expires")
{
    ConfigurationLease lease({ seconds(2), std::nullopt });
    static_cast<void>(lease.offer(version(1), at(seconds(0))));
    CHECK(lease.freshness(at(seconds(1000))) == ConfigurationFreshness::Aging);
}

TEST_CASE("a superseded version expires by the time at which the next version became known, not the newest")
{
    ConfigurationLease lease({ seconds(2), std::nullopt });
    static_cast<void>(lease.offer(version(1), at(seconds(0))));
    CHECK(!lease.known_since());
    lease.note_version(2, at(milliseconds(1000)), at(milliseconds(500)));
    lease.note_version(4, at(milliseconds(1500)), at(milliseconds(1500)));
    CHECK(lease.freshness(at(milliseconds(2500))) == ConfigurationFreshness::Aging);
    CHECK(lease.freshness(at(milliseconds(2501))) == ConfigurationFreshness::Expired);
    // For a version in between, only the time is known at which the first later version became known.
    static_cast<void>(lease.offer(version(3), std::nullopt));
    CHECK(lease.known_since() == at(milliseconds(500)));
    CHECK(lease.freshness(at(milliseconds(3500))) == ConfigurationFreshness::Aging);
    CHECK(lease.freshness(at(milliseconds(3501))) == ConfigurationFreshness::Expired);
    static_cast<void>(lease.offer(version(4), std::nullopt));
    CHECK(lease.known_since() == at(milliseconds(1500)));
    CHECK(lease.freshness(at(milliseconds(3501))) != ConfigurationFreshness::Expired);
}

TEST_CASE("a box that was cut off has time to read the version that it missed")
{
    ConfigurationLease lease({ seconds(2), std::nullopt });
    static_cast<void>(lease.offer(version(1), at(seconds(0))));
    lease.note_version(2, at(seconds(60)), at(seconds(5)));
    CHECK(lease.freshness(at(milliseconds(60'900))) == ConfigurationFreshness::Aging);
    CHECK(lease.freshness(at(milliseconds(60'901))) == ConfigurationFreshness::Expired);
}
