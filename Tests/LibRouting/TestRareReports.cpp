#include <TestMain.h>

#include <LibRouting/Placement.h>
#include <deque>
#include <pcg_random.hpp>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string const own_domain = "hall";
constexpr std::size_t box_count = 87;
constexpr std::size_t engine_count = 24;
constexpr unsigned slots = 12;
constexpr auto answer_time = seconds(2);
/// Two thirds of the engines' capacity.
constexpr unsigned requests_per_second = 96;
constexpr auto report_interval = Core::Duration(seconds(2));

/// Boxes that send short questions to shared engines. Each knows its own load and gets the load of the other boxes
/// every 2 s.
class Boxes {
public:
    Boxes()
    {
        for (std::size_t index = 0; index < engine_count; ++index)
            this->endpoints.push_back({ EndpointId { static_cast<std::uint32_t>(index + 1) },
                { "i-" + std::to_string(index), "pool", { "10.0.0.1", 80 }, own_domain, slots, false }, {}, false });
        for (auto const& endpoint : this->endpoints)
            this->candidates.push_back(&endpoint);
    }

    /// Number of requests within half a minute that reach a full engine.
    [[nodiscard]] unsigned run(double compared_share)
    {
        unsigned met_full_engine = 0;
        constexpr auto gap = Core::Duration(seconds(1)) / requests_per_second;
        auto const end = this->now + seconds(30);
        for (; this->now < end; this->now += gap) {
            this->end_answers();
            this->send_reports();
            met_full_engine += this->send(compared_share) ? 1 : 0;
        }
        return met_full_engine;
    }

private:
    struct Running {
        std::size_t box;
        EndpointId endpoint;
        RequestId request;
        Instant ends_at;
    };

    [[nodiscard]] unsigned running_at(EndpointId endpoint) const
    {
        return static_cast<unsigned>(
            std::ranges::count_if(this->running, [&](Running const& entry) { return entry.endpoint == endpoint; }));
    }

    [[nodiscard]] bool send(double compared_share)
    {
        auto const box = this->random(box_count);
        auto const id = RequestId { ++this->last_request };
        Workload const question { { { 2, 100 }, { 3, 70 }, { 1000 + this->last_request, 540 } }, 710, 280 };
        PlacementQuery const query { question, true, 0, own_domain, this->now, {}, {}, SlotRank::LeastUrgent,
            compared_share, this->random() };
        auto const choice = choose_endpoint({ this->candidates }, this->loads[box], query, {});
        REQUIRE(choice);
        bool const is_full = this->running_at(choice->endpoint) >= slots;
        this->loads[box][choice->endpoint].started(id, question, { choice->prefill, choice->first_piece }, this->now);
        this->loads[box][choice->endpoint].answered(id, {}, this->now);
        this->running.push_back({ box, choice->endpoint, id, this->now + answer_time });
        return is_full;
    }

    void end_answers()
    {
        while (!this->running.empty() && this->running.front().ends_at <= this->now) {
            auto const& ended = this->running.front();
            this->loads[ended.box][ended.endpoint].ended(ended.request, this->now);
            this->running.pop_front();
        }
    }

    /// Boxes send their reports one after another.
    void send_reports()
    {
        for (; this->now >= this->reports_at; this->reports_at += report_interval / box_count) {
            auto const sender = this->next_sender++ % box_count;
            for (std::size_t receiver = 0; receiver < box_count; ++receiver) {
                for (auto const& endpoint : this->endpoints)
                    this->send_report(sender, receiver, endpoint.id);
            }
        }
    }

    void send_report(std::size_t sender, std::size_t receiver, EndpointId endpoint)
    {
        auto const own = this->loads[sender][endpoint].own_running();
        if (sender != receiver)
            this->loads[receiver][endpoint].apply_peer(sender, {}, static_cast<unsigned>(own), this->now);
    }

    Instant now { seconds(100) };
    Instant reports_at { seconds(100) };
    std::size_t next_sender { 0 };
    std::vector<KnownEndpoint> endpoints;
    std::vector<KnownEndpoint const*> candidates;
    std::array<LoadTable, box_count> loads;
    std::deque<Running> running;
    std::uint64_t last_request { 0 };
    pcg32 random { 20261202 };
};

}

// Guards against all boxes sending to the same engines: with rare load reports they find the same engines the emptiest
// and keep sending there until the next reports, while other engines have free slots.
TEST_CASE("boxes with rare load reports don't all send to the engine that was the emptiest")
{
    Boxes comparing_all;
    auto const with_all = comparing_all.run(1);
    Boxes comparing_few;
    auto const with_few = comparing_few.run(0.05);
    MESSAGE("sends to full engines, all compared: ", with_all, ", few compared: ", with_few);
    CHECK(with_few * 3 < with_all);
}

TEST_CASE("the home of a prompt is always among the compared engines")
{
    std::vector<KnownEndpoint> endpoints;
    endpoints.reserve(engine_count);
    for (std::size_t index = 0; index < engine_count; ++index)
        endpoints.push_back({ EndpointId { static_cast<std::uint32_t>(index + 1) },
            { "i-" + std::to_string(index), "pool", { "10.0.0.1", 80 }, own_domain, slots, false }, {}, false });
    std::vector<KnownEndpoint const*> candidates;
    candidates.reserve(engine_count);
    for (auto const& endpoint : endpoints)
        candidates.push_back(&endpoint);
    Workload const review { { { 1, 2500 }, { 7, 3800 }, { 8, 2900 } }, 9200, 54 };
    pcg32 random(1);
    std::optional<EndpointId> home;
    for (int attempt = 0; attempt < 100; ++attempt) {
        PlacementQuery const query { review, true, 0, own_domain, Instant { seconds(100) }, {}, {},
            SlotRank::LeastUrgent, 0.05, random() };
        auto const choice = choose_endpoint({ candidates }, {}, query, {});
        REQUIRE(choice);
        CHECK(choice->endpoint == home.value_or(choice->endpoint));
        home = choice->endpoint;
    }
}
