#include <TestMain.h>

#include <Harness/PlatformCluster.h>

namespace {

using Harness::PlatformCluster;
using Harness::wait_until;

constexpr std::array boxes { "b1", "b2", "b3", "b4", "b5" };

double relayed_answers(PlatformCluster const& site, std::string const& box)
{
    return site.metric(box, "cleatbeam_relay_questions_total{outcome=\"answered\"}");
}

/// Five boxes of one failure domain that can reach each other, with bounds that do not expire when a test runs slowly.
struct Site : PlatformCluster {
    Site()
    {
        this->start_server("d1", "desk");
        this->start_server("d2", "desk");
        this->configure(1, { "key", "other" });
        for (auto const* box : boxes)
            this->start_box(box, { 8000, 8000, 20000, true });
        for (auto const* box : boxes)
            this->wait_ready(box);
        for (auto const* box : boxes) {
            wait_until(std::string(box) + " knows all boxes",
                [&] { return this->metric(box, "cleatbeam_boxes") == static_cast<double>(boxes.size()); });
        }
        wait_until("one box reads the store for all", [&] { return !this->relay().empty(); });
    }

    /// The box whose answers all others use now; empty if there is none. Earlier answers don't count, since a box that
    /// starts may first use another relay.
    [[nodiscard]] std::string relay() const
    {
        std::map<std::string, double> before;
        for (auto const* box : boxes)
            before[box] = relayed_answers(*this, box);
        constexpr double some = 2;
        std::string asks_nobody;
        wait_until("all boxes but one have some more answers", [&] {
            int without = 0;
            for (auto const* box : boxes) {
                if (relayed_answers(*this, box) >= before[box] + some)
                    continue;
                ++without;
                asks_nobody = box;
            }
            return without <= 1;
        });
        bool const has_asked = relayed_answers(*this, asks_nobody) > before[asks_nobody];
        return has_asked ? "" : asks_nobody;
    }

    /// All boxes but this one.
    [[nodiscard]] static std::vector<std::string> others(std::string const& name)
    {
        std::vector<std::string> names;
        for (auto const* box : boxes) {
            if (box != name)
                names.emplace_back(box);
        }
        return names;
    }
};

}

TEST_CASE("boxes learn from a relay what the store says, and call the store no more")
{
    Site site;
    auto const box = Site::others(site.relay()).front();
    auto const calls = site.metric(box, "cleatbeam_store_calls_total");
    auto const answers = relayed_answers(site, box);
    constexpr double some = 4;
    wait_until("the relay has answered some more", [&] { return relayed_answers(site, box) >= answers + some; });
    CHECK(site.metric(box, "cleatbeam_store_calls_total") < calls + some);

    site.configure(2, { "key" });
    for (auto const* name : boxes) {
        wait_until(std::string(name) + " refuses the removed key", [&] {
            return site.send(name, "/once/x", "gone", { { "X-Key", "other" } }).status == 401;
        });
        CHECK(site.send(name, "/once/x", std::string("kept-") + name).status == 200);
    }
}

TEST_CASE("a configuration with thousands of routes comes from the relay, and its record is read from the store once")
{
    Site site;
    auto const first = site.relay();
    // A box's last own read waits at the store for 1.2 s; relays are polled every 0.8 s.
    constexpr double some = 4;
    for (auto const& name : Site::others(first))
        wait_until(name + " reads the store no more", [&] { return relayed_answers(site, name) >= some; });
    std::map<std::string, double> before;
    for (auto const* name : boxes)
        before[name] = site.metric(name, "cleatbeam_store_bytes_total");
    // Uncompressed, the record takes the link of a box longer than a whole answer of a relay may take.
    constexpr int routes = 5000;
    constexpr double record_bytes = 800'000;
    site.configure(2, { "key" }, routes);
    for (auto const* name : boxes) {
        wait_until(std::string(name) + " serves the last route",
            [&] { return site.send(name, "/more-4999/x", std::string("late-") + name).status == 200; });
    }
    CHECK(site.metric(first, "cleatbeam_store_bytes_total") - before[first] > record_bytes);
    for (auto const& name : Site::others(first))
        CHECK(site.metric(name, "cleatbeam_store_bytes_total") - before[name] < record_bytes / 2);
}

TEST_CASE("a relay that is killed, or hangs, keeps no news from the others")
{
    Site site;
    auto const first = site.relay();
    SUBCASE("killed")
    {
        site.process(first).kill();
    }
    SUBCASE("hanging")
    {
        site.process(first).freeze();
    }
    site.configure(2, { "key" });
    for (auto const& name : Site::others(first)) {
        wait_until(name + " refuses the removed key", [&] {
            return site.send(name, "/once/x", "gone", { { "X-Key", "other" } }).status == 401;
        });
        CHECK(site.send(name, "/once/x", "kept-" + name).status == 200);
    }
}

TEST_CASE("a relay that stops as planned sends the others away and ends with 0")
{
    Site site;
    auto const first = site.relay();
    CHECK(site.process(first).terminate() == 0);
    site.configure(2, { "key", "new" });
    for (auto const& name : Site::others(first)) {
        wait_until(name + " knows the new key", [&] {
            return site.send(name, "/once/x", "new-" + name, { { "X-Key", "new" } }).status == 200;
        });
    }
}

namespace {

/// Four boxes in each of two failure domains, which start for the first time.
struct TwoDomains : PlatformCluster {
    TwoDomains()
    {
        this->start_server("d1", "desk");
        this->configure(1, { "key", "other" });
        for (auto const* domain : { "east", "west" }) {
            for (auto const* number : { "1", "2", "3", "4" })
                this->start(std::string(domain) + number, domain);
        }
        for (auto const& name : this->names)
            this->wait_ready(name);
    }

    /// The only box that called the store in its last few calls; empty if there was more than one.
    [[nodiscard]] std::string reader() const
    {
        constexpr double some = 12;
        auto const before = this->calls();
        auto after = before;
        wait_until("the store was read some more", [&] {
            after = this->calls();
            return sum(after) >= sum(before) + some;
        });
        std::string found;
        for (auto const& name : this->names) {
            if (after[name] == before.at(name))
                continue;
            if (!found.empty())
                return "";
            found = name;
        }
        return found;
    }

    std::vector<std::string> names;

private:
    /// Number of calls to the store, by box.
    [[nodiscard]] std::map<std::string, double> calls() const
    {
        std::map<std::string, double> calls;
        for (auto const& name : this->names)
            calls[name] = this->metric(name, "cleatbeam_store_calls_total");
        return calls;
    }
    [[nodiscard]] static double sum(std::map<std::string, double> const& calls)
    {
        double sum = 0;
        for (auto const& [name, count] : calls)
            sum += count;
        return sum;
    }

    void start(std::string const& name, std::string const& domain)
    {
        Harness::BoxBounds bounds { 8000, 8000, 20000, true };
        bounds.failure_domain = domain;
        bounds.is_first_start = true;
        this->start_box(name, bounds);
        this->names.push_back(name);
    }
};

}

TEST_CASE("one box reads the store for two failure domains, and its death keeps no news from either")
{
    TwoDomains site;
    std::string reader;
    wait_until("one box reads the store for all", [&] {
        reader = site.reader();
        return !reader.empty();
    });
    site.process(reader).kill();
    site.configure(2, { "key" });
    for (auto const& name : site.names) {
        if (name == reader)
            continue;
        wait_until(name + " refuses the removed key", [&] {
            return site.send(name, "/once/x", "gone", { { "X-Key", "other" } }).status == 401;
        });
        CHECK(site.send(name, "/once/x", "kept-" + name).status == 200);
    }
}
