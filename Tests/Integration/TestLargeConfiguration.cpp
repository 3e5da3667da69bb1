#include <TestMain.h>

#include <Harness/FaultProxy.h>
#include <Harness/PlatformCluster.h>

// Guards against configurations that boxes with narrow links never receive, since every read of them is cut off.
namespace {

using Harness::BoxBounds;
using Harness::Fault;
using Harness::FaultProxy;
using Harness::PlatformCluster;
using Harness::wait_until;

/// Gives a record of about 120 KB.
constexpr int many_routes = 700;
/// Less than that record, and more than everything else that a box reads during a test.
constexpr double large_record_bytes = 100'000;
/// Transfers the record in 1.5 s, in base64 in 2 s.
constexpr std::uint64_t narrow_rate = 80'000;
/// Long enough that no lease expires during two such transfers in a row.
constexpr BoxBounds wide_bounds { 3000, 3000, 8000 };
/// More than three boxes of a failure domain: one of them reads the store for the others.
constexpr std::array box_names { "b1", "b2", "b3", "b4", "b5" };

/// Boxes that reach the store over links of their own, which have the capacity of loopback until narrow() is called.
struct Site : PlatformCluster {
    Site() { this->start_server("d1", "desk"); }

    void start_behind_link(std::string const& name, BoxBounds bounds = wide_bounds)
    {
        auto& link = this->links[name];
        link.set_rate(narrow_rate);
        link.set_target(this->store_port());
        bounds.store_port = link.port();
        this->start_box(name, bounds);
    }

    void narrow(std::string const& name) { this->links.at(name).set_fault(Fault::Narrow); }

    void wait_in_force(std::string const& name, int version) const
    {
        wait_until(name + " has version " + std::to_string(version) + " in force",
            [&] { return this->version_in_force(name) == version; });
    }

    [[nodiscard]] bool was_always_ready(std::string const& name) const
    {
        return this->log_of(name).find("event=not_ready") == std::string::npos;
    }

    /// Whether reads of the operator's topic fail. Reads of the other topic may fail earlier.
    [[nodiscard]] bool has_lost_store(std::string const& name) const
    {
        return this->log_of(name).find("event=store_lost topic=operator") != std::string::npos;
    }

    /// Whether the box has read a large record from the store, not from another box.
    [[nodiscard]] bool has_read_large_record(std::string const& name) const
    {
        return this->metric(name, "cleatbeam_store_bytes_total") > large_record_bytes;
    }

    [[nodiscard]] int status_with_key(std::string const& name, std::string const& key) const
    {
        return this->send(name, "/once/x", key + "-at-" + name, { { "X-Key", key } }).status;
    }

    std::map<std::string, FaultProxy> links;
};

/// One box, or five with a common relay, that are ready with a small configuration and then get narrow links.
struct NarrowSite : Site {
    NarrowSite()
    {
        this->configure(1, { "key", "other" });
        auto bounds = wide_bounds;
        SUBCASE("a box that reads the store itself")
        {
            this->names = { box_names[0] };
        }
        SUBCASE("boxes that ask a relay")
        {
            this->names = { box_names.begin(), box_names.end() };
            bounds.has_peers = true;
            // NOTE: With such links no box relays a large configuration, so each has to read it from the store.
            bounds.link_megabits = 1;
        }
        for (auto const& name : this->names)
            this->start_behind_link(name, bounds);
        for (auto const& name : this->names)
            this->wait_ready(name);
        if (this->names.size() > 1)
            wait_until(
                "one box reads the store for all", [&] { return this->boxes_with_relay() + 1 == box_names.size(); });
        for (auto const& name : this->names)
            this->narrow(name);
    }

    [[nodiscard]] std::size_t boxes_with_relay() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->names, [&](auto const& name) {
            return this->metric(name, "cleatbeam_relay_questions_total{outcome=\"answered\"}") > 0;
        }));
    }

    std::vector<std::string> names;
};

/// Checks that each box has read this version itself, applies it, and was always ready.
void check_in_force_everywhere(NarrowSite& site, std::uint64_t version)
{
    for (auto const& name : site.names) {
        CAPTURE(name);
        site.wait_in_force(name, version);
        CHECK(site.has_read_large_record(name));
        CHECK(site.status_with_key(name, "key") == 200);
        CHECK(site.status_with_key(name, "other") == 401);
        CHECK(site.was_always_ready(name));
    }
}

}

TEST_CASE("a configuration that takes a narrow link 1.5 s comes into force, and boxes stay ready")
{
    NarrowSite site;
    site.configure(2, { "key" }, many_routes);
    check_in_force_everywhere(site, 2);
}

TEST_CASE("of two large configurations in quick succession the last one comes into force, and boxes stay ready")
{
    NarrowSite site;
    site.configure(2, { "key", "other" }, many_routes);
    site.configure(3, { "key" }, many_routes);
    check_in_force_everywhere(site, 3);
}

TEST_CASE("a box that starts behind a narrow link reads a large configuration whole and becomes ready")
{
    Site site;
    site.configure(1, { "key" }, many_routes);
    site.links["b1"].set_fault(Fault::Narrow);
    site.start_behind_link("b1");
    site.wait_ready("b1");
    CHECK(site.version_in_force("b1") == 1);
    CHECK(site.status_with_key("b1", "key") == 200);
}

TEST_CASE("a box notices a store that goes silent within an answer while its lease holds, and reads again after that")
{
    Site site;
    site.configure(1, { "key", "other" });
    // A lease of 4.5 s, of which the long poll and the partial transfer take 2 s.
    site.start_behind_link("b1", { 3000, 3000, 5000 });
    site.wait_ready("b1");
    site.narrow("b1");
    site.configure(2, { "key" }, many_routes);
    auto& link = site.links.at("b1");
    auto const passed = link.answer_bytes();
    constexpr std::uint64_t some_of_the_record = 30'000;
    wait_until("a part of the record has arrived", [&] { return link.answer_bytes() > passed + some_of_the_record; });
    REQUIRE(site.version_in_force("b1") == 1);
    REQUIRE(!site.has_lost_store("b1"));
    link.set_fault(Fault::Silent);
    auto const silent_since = std::chrono::steady_clock::now();
    wait_until("the box has noticed", [&] { return site.has_lost_store("b1"); });
    auto const noticed_after = std::chrono::steady_clock::now() - silent_since;
    MESSAGE("noticed after " << std::chrono::duration_cast<std::chrono::milliseconds>(noticed_after).count() << " ms");
    CHECK(site.was_always_ready("b1"));
    CHECK(site.status_with_key("b1", "key") == 200);
    link.set_fault(Fault::Narrow);
    site.wait_in_force("b1", 2);
    CHECK(site.status_with_key("b1", "other") == 401);
}
