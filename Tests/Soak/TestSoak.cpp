#include <TestMain.h>

#include "Clients.h"
#include <Harness/FaultProxy.h>
#include <Harness/PlatformCluster.h>
#include <cstdlib>
#include <pcg_random.hpp>

/// Real boxes before stand-ins of the users' store and servers, under faults drawn from a seed: boxes are killed,
/// paused and stopped, the store fails in its ways, and the ways from clients to boxes and from boxes to the store are
/// delayed, cut and reset. What clients were told is compared with what servers ran.
namespace {

using namespace Soak;
using Harness::Fault;
using Harness::FaultProxy;
using Harness::wait_until;

constexpr std::array box_names { "b1", "b2", "b3", "b4", "b5" };
constexpr std::array server_names { "m1", "m2", "d1", "d2" };
/// A key must not be served this long after it was taken away.
constexpr auto revoke_within = std::chrono::milliseconds(3000);
constexpr Harness::BoxBounds bounds { 1000, 1000, 3000, true };

std::uint64_t from_environment(char const* name, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(name);
    return text != nullptr ? std::stoull(text) : otherwise;
}

class Site {
public:
    explicit Site(std::uint64_t seed)
        : random(seed)
    {
        for (auto const* name : server_names)
            this->cluster.start_server(name, name[0] == 'm' ? "model" : "desk");
        this->cluster.configure(1, { "key", "other" });
        for (std::size_t index = 0; index < box_names.size(); ++index) {
            this->to_store[index].set_target(this->cluster.store_port());
            this->start_box(index);
        }
        for (auto const* name : box_names)
            this->cluster.wait_ready(name);
    }

    [[nodiscard]] std::vector<int> client_ports() const
    {
        std::vector<int> ports;
        for (auto const& proxy : this->to_box)
            ports.push_back(proxy.port());
        return ports;
    }

    /// One fault more; those drawn before may still last.
    void strike()
    {
        auto const index = this->random(static_cast<std::uint32_t>(box_names.size()));
        auto const* const name = box_names[index];
        switch (this->random(8)) {
        case 0:
            this->thaw(index);
            this->cluster.process(name).kill();
            this->start_box(index);
            break;
        case 1:
            this->thaw(index);
            CHECK(this->cluster.process(name).terminate() == 0);
            this->start_box(index);
            break;
        case 2:
            this->cluster.process(name).freeze();
            this->is_frozen[index] = true;
            break;
        case 3:
            this->thaw(index);
            break;
        case 4:
            this->cluster.set_store_mode(std::array { "", "reset", "busy", "silent", "" }[this->random(5)]);
            break;
        case 5:
        case 6:
            this->to_store[index].set_fault(this->draw_fault());
            break;
        default:
            this->to_box[index].set_fault(this->draw_fault());
            break;
        }
    }

    void heal()
    {
        this->cluster.set_store_mode("");
        for (std::size_t index = 0; index < box_names.size(); ++index) {
            this->thaw(index);
            this->to_store[index].set_fault(Fault::None);
            this->to_box[index].set_fault(Fault::None);
        }
    }

    /// Takes the second key away; the moment at which the store has acknowledged that.
    Clock::time_point revoke()
    {
        this->cluster.set_store_mode("");
        this->cluster.configure(2, { "key" });
        return Clock::now();
    }

    Harness::PlatformCluster cluster;

private:
    void start_box(std::size_t index)
    {
        auto settings = bounds;
        settings.store_port = this->to_store[index].port();
        this->cluster.start_box(box_names[index], settings);
        this->to_box[index].set_target(this->cluster.client_port(box_names[index]));
    }

    void thaw(std::size_t index)
    {
        if (std::exchange(this->is_frozen[index], false))
            this->cluster.process(box_names[index]).thaw();
    }

    Fault draw_fault()
    {
        return std::array { Fault::None, Fault::Delayed, Fault::CutOneWay, Fault::Silent,
            Fault::Reset }[this->random(5)];
    }

    pcg32 random;
    std::array<FaultProxy, box_names.size()> to_store;
    std::array<FaultProxy, box_names.size()> to_box;
    std::array<bool, box_names.size()> is_frozen {};
};

std::string whole_stream(std::string const& attempt)
{
    std::string text;
    for (int event = 1; event <= Clients::stream_events; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + attempt + ":" + std::to_string(event) + "\n\n";
    return text;
}

/// How often each attempt was run, by the servers' own journals.
std::map<std::string, int> runs_of(Site const& site)
{
    std::map<std::string, int> runs;
    for (auto const* server : server_names) {
        auto const journal = site.cluster.journal(server);
        for (auto const& [attempt, run] : journal.items())
            runs[attempt] += run.value("count", 0);
    }
    return runs;
}

/// Refusals with these say that the request has not run and never will.
bool says_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

void check(Exchange const& exchange, int runs, Clock::time_point revoked_at)
{
    CAPTURE(exchange.attempt);
    CAPTURE(exchange.status);
    bool const is_repeatable = exchange.kind == RequestKind::Repeatable;
    if (!is_repeatable) {
        CHECK(runs <= 1);
        if (says_not_run(exchange.status))
            CHECK(runs == 0);
    }
    if (exchange.status == 200)
        CHECK(exchange.body
            == (exchange.kind == RequestKind::Stream ? whole_stream(exchange.attempt) : "ran " + exchange.attempt));
    if (exchange.key == "key")
        CHECK((exchange.status != 401 && exchange.status != 404));
    if (exchange.key == "other" && exchange.sent_at > revoked_at + revoke_within)
        CHECK(runs == 0);
}

}

TEST_CASE("what clients are told is true under faults of all kinds")
{
    auto const seed = from_environment("CLEATBEAM_SOAK_SEED", 1);
    auto const strikes = from_environment("CLEATBEAM_SOAK_STRIKES", 24);
    CAPTURE(seed);
    Site site(seed);
    Clients clients(site.client_ports(), seed);
    constexpr auto between_strikes = std::chrono::milliseconds(250);
    Clock::time_point revoked_at;
    for (std::uint64_t strike = 0; strike < strikes; ++strike) {
        if (strike == strikes / 2)
            revoked_at = site.revoke();
        site.strike();
        std::this_thread::sleep_for(between_strikes);
    }
    site.heal();
    for (auto const* name : box_names) {
        wait_until(std::string(name) + " serves again", [&] {
            static int number = 0;
            return site.cluster.send(name, "/once/x", "after-" + std::to_string(number++)).status == 200;
        });
    }
    auto const exchanges = clients.finish();
    auto const runs = runs_of(site);
    std::size_t served = 0;
    for (auto const& exchange : exchanges) {
        auto const found = runs.find(exchange.attempt);
        check(exchange, found == runs.end() ? 0 : found->second, revoked_at);
        served += exchange.status == 200 ? 1 : 0;
    }
    MESSAGE("seed " << seed << ": " << exchanges.size() << " requests, " << served << " served");
    CHECK(served > 0);
}
