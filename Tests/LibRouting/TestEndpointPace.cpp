#include <TestMain.h>

#include <LibRouting/EndpointPace.h>
#include <LibRouting/EngineSpeed.h>

#include <array>
#include <cmath>
#include <limits>
#include <pcg_random.hpp>
#include <queue>
#include <random>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t box_count = 85;
constexpr std::size_t engine_count = 112;
/// Boxes whose estimates are checked; all boxes measure and report.
constexpr std::size_t observer_count = 4;
constexpr double step_milliseconds = 3.88;
constexpr double slow_factor = 2.4;

/// What a box sees of an endpoint by its own requests.
struct Traffic {
    std::string name;
    /// Mean time between two streams of a box at an endpoint.
    double gap_seconds;
    /// Samples of 64 tokens that a stream yields.
    unsigned samples_per_answer;
};

/// Streams of 36 events, seen every ten seconds.
Traffic const usual_traffic { "a stream with 4 samples every 10 s", 10, 4 };
/// The load that the first customer expects: 224 streams per second, of 36 and 48 events.
Traffic const thin_traffic { "a stream with 4 samples every 42 s", 42, 4 };
/// The load of the second customer, with streams of 24 events.
Traffic const short_traffic { "a stream with 2 samples every 13 s", 13, 2 };

struct Engine {
    double factor { 1 };
    double prompts_per_second { 3.6 };
};

/// 112 engines that read prompts between the steps of answers, on machines where work takes 2.5 times as long for 0.15
/// of the time, redrawn every 600 ms. 85 boxes measure them, and hear the report of a given other box every 2 to 4 s.
/// As in real reports, only engines with requests of the sender are included.
class Boxes {
public:
    Boxes(Traffic traffic, std::uint64_t seed)
        : traffic(std::move(traffic))
        , random(seed)
    {
        for (std::size_t sender = 0; sender < box_count; ++sender) {
            this->push({ this->now + this->milliseconds_of(this->drawn() * 90), Kind::Request, sender, 0, 0 });
            for (std::size_t receiver = 0; receiver < box_count; ++receiver) {
                if (receiver != sender)
                    this->push(
                        { this->now + this->milliseconds_of(this->drawn() * 4000), Kind::Report, sender, receiver, 0 });
            }
        }
    }

    void run_for(Core::Duration duration)
    {
        auto const end = this->now + duration;
        while (this->events.top().at < end) {
            auto const event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event);
        }
        this->now = end;
    }

    [[nodiscard]] double factor(std::size_t observer, std::size_t engine) const
    {
        return this->boxes[observer].paces[engine].factor(this->now);
    }

    std::array<Engine, engine_count> engines;

private:
    enum class Kind {
        /// A box sends a request to a random engine.
        Request,
        /// Eight events of an answer have arrived.
        Sample,
        End,
        Report,
    };
    struct Event {
        Core::Instant at;
        Kind kind { Kind::Request };
        std::size_t box { 0 };
        /// The engine, or the box that receives a report.
        std::size_t target { 0 };
        unsigned samples_left { 0 };
        double taken_milliseconds { 0 };

        bool operator<(Event const& other) const { return this->at > other.at; }
    };
    struct Box {
        EngineSpeedEstimate speed;
        std::array<EndpointPace, engine_count> paces;
        std::array<unsigned, engine_count> running {};
    };

    static Core::Duration milliseconds_of(double count) { return Core::from_seconds(count / 1000); }
    double drawn() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    double drawn_exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(this->random); }
    void push(Event const& event) { this->events.push(event); }

    /// How long work takes at the engine's machine at this moment.
    double machine_factor(std::size_t engine)
    {
        auto const period = this->now.time_since_epoch() / milliseconds(600);
        pcg32 of_period(static_cast<std::uint64_t>(period) * engine_count + engine);
        return std::uniform_real_distribution<double>(0, 1)(of_period) < 0.15 ? 2.5 : 1;
    }

    /// The time of 64 tokens, with the prompts that are read between them.
    double sample_milliseconds(std::size_t index)
    {
        auto const& engine = this->engines[index];
        constexpr double prompt_milliseconds = 56;
        constexpr double longest_milliseconds = 8000;
        auto const slowness = engine.factor * this->machine_factor(index);
        auto const prompt = prompt_milliseconds * slowness;
        double taken = 64 * step_milliseconds * slowness * (0.98 + 0.04 * this->drawn());
        bool const is_reading = this->drawn() < engine.prompts_per_second * prompt / 1000;
        if (is_reading)
            taken += this->drawn_exponential(prompt);
        for (double at = 0;;) {
            at += this->drawn_exponential(1000 / engine.prompts_per_second);
            if (at >= taken || taken > longest_milliseconds)
                return taken;
            taken += this->drawn_exponential(prompt);
        }
    }

    void push_sample(std::size_t box, std::size_t engine, unsigned left)
    {
        auto const taken = this->sample_milliseconds(engine);
        this->push({ this->now + milliseconds_of(taken), Kind::Sample, box, engine, left, taken });
    }

    void handle(Event const& event)
    {
        switch (event.kind) {
        case Kind::Request:
            return this->send_request(event.box);
        case Kind::Sample:
            return this->add_sample(event);
        case Kind::End:
            --this->boxes[event.box].running[event.target];
            return;
        case Kind::Report:
            return this->send_report(event.box, event.target);
        }
    }

    void send_request(std::size_t box)
    {
        auto const gap_milliseconds = this->traffic.gap_seconds * 1000 / engine_count;
        this->push(
            { this->now + milliseconds_of(this->drawn_exponential(gap_milliseconds)), Kind::Request, box, 0, 0 });
        auto const engine = this->random(engine_count);
        ++this->boxes[box].running[engine];
        this->push_sample(box, engine, this->traffic.samples_per_answer);
    }

    void add_sample(Event const& event)
    {
        auto& box = this->boxes[event.box];
        if (auto const factor = box.speed.add_tokens(64, event.taken_milliseconds))
            box.paces[event.target].add(*factor, this->now);
        // The speeds of other boxes count by the kind of samples that is rarer.
        constexpr double tokens = 3000;
        box.speed.add_first_piece(tokens, tokens / 60 + event.taken_milliseconds / 64);
        if (event.samples_left > 1)
            return this->push_sample(event.box, event.target, event.samples_left - 1);
        // Half a sample's events follow on average.
        this->push(
            { this->now + milliseconds_of(event.taken_milliseconds / 2), Kind::End, event.box, event.target, 0 });
    }

    void send_report(std::size_t sender, std::size_t receiver)
    {
        this->push({ this->now + milliseconds_of(2000 + 2000 * this->drawn()), Kind::Report, sender, receiver, 0 });
        auto& from = this->boxes[sender];
        auto& to = this->boxes[receiver];
        to.speed.apply_peer(sender, { from.speed.own_speed(), from.speed.samples(), this->now });
        if (receiver >= observer_count)
            return;
        for (std::size_t engine = 0; engine < engine_count; ++engine) {
            auto const samples = from.running[engine] > 0 ? from.paces[engine].own_samples(this->now) : std::nullopt;
            if (samples)
                to.paces[engine].apply_peer(sender, *samples, this->now);
        }
    }

    Traffic traffic;
    pcg32 random;
    Core::Instant now { seconds(100) };
    std::priority_queue<Event> events;
    std::vector<Box> boxes { box_count };
};

/// The range of the estimates of all observers for engines of a kind.
struct Spread {
    double least { std::numeric_limits<double>::max() };
    double greatest { 0 };
    unsigned considered_slow { 0 };
    unsigned all { 0 };

    [[nodiscard]] double slow_share() const { return static_cast<double>(this->considered_slow) / this->all; }

    void add(double factor)
    {
        this->least = std::min(this->least, factor);
        this->greatest = std::max(this->greatest, factor);
        this->considered_slow += factor > 1.25 ? 1 : 0;
        ++this->all;
    }
};

template <typename IsIncluded> Spread spread(Boxes const& boxes, IsIncluded const& is_included)
{
    Spread spread;
    for (std::size_t observer = 0; observer < observer_count; ++observer) {
        for (std::size_t engine = 0; engine < engine_count; ++engine) {
            if (is_included(engine))
                spread.add(boxes.factor(observer, engine));
        }
    }
    return spread;
}

/// Adds the estimates of engines of a kind, read each second.
template <typename IsIncluded> Spread spread_during(Boxes& boxes, int count, IsIncluded const& is_included)
{
    Spread all;
    for (int second = 0; second < count; ++second) {
        boxes.run_for(seconds(1));
        auto const at_second = spread(boxes, is_included);
        all.least = std::min(all.least, at_second.least);
        all.greatest = std::max(all.greatest, at_second.greatest);
        all.considered_slow += at_second.considered_slow;
        all.all += at_second.all;
    }
    return all;
}

bool is_any(std::size_t)
{
    return true;
}

bool is_first_third(std::size_t engine)
{
    return engine % 3 == 0;
}

bool is_second_third(std::size_t engine)
{
    return engine % 3 == 1;
}

bool is_last_third(std::size_t engine)
{
    return engine % 3 == 2;
}

auto const start = Core::Instant {} + seconds(100);

}

// Guards against placement that prefers endpoints at random because of noise in the estimates.
TEST_CASE("endpoints that don't differ have the factor 1 within a tenth")
{
    for (auto const& traffic : { usual_traffic, thin_traffic, short_traffic }) {
        CAPTURE(traffic.name);
        for (std::uint64_t const seed : { 11, 12, 13 }) {
            CAPTURE(seed);
            Boxes boxes(traffic, seed);
            boxes.run_for(seconds(12));
            auto const all = spread_during(boxes, 40, is_any);
            MESSAGE(traffic.name, ": ", all.least, " to ", all.greatest);
            CHECK(all.least >= 0.9);
            CHECK(all.greatest <= 1.1);
        }
    }
}

// Guards against estimates that are right only after minutes, or that miss some of the slow endpoints.
TEST_CASE("endpoints that are 2.4 times as slow as the others are told from them within ten seconds")
{
    for (auto const& traffic : { usual_traffic, thin_traffic, short_traffic }) {
        CAPTURE(traffic.name);
        Boxes boxes(traffic, 21);
        for (std::size_t engine = 0; engine < engine_count; ++engine)
            boxes.engines[engine].factor = is_first_third(engine) ? slow_factor : 1;
        // The boxes start at the same time; at first they have to learn the service's usual time.
        boxes.run_for(seconds(traffic.name == thin_traffic.name ? 20 : 10));
        auto const slow = spread_during(boxes, 25, is_first_third);
        auto const second = spread_during(boxes, 15, is_second_third);
        MESSAGE(traffic.name, ": slow ", slow.least, " to ", slow.greatest, ", share considered slow ",
            slow.slow_share(), "; usual ", second.least, " to ", second.greatest);
        CHECK(slow.slow_share() > 0.98);
        CHECK(slow.greatest < 1.4 * slow_factor);
        CHECK(second.considered_slow == 0);
        CHECK(second.least >= 0.85);

        // The first third becomes fast and the second one slow.
        for (std::size_t engine = 0; engine < engine_count; ++engine)
            boxes.engines[engine].factor = is_second_third(engine) ? slow_factor : 1;
        bool const is_usual = traffic.name == usual_traffic.name;
        auto const after = seconds(is_usual ? 11 : 14);
        boxes.run_for(after);
        auto const recovered = spread(boxes, is_first_third);
        auto const slowed = spread(boxes, is_second_third);
        auto const unchanged = spread(boxes, is_last_third);
        MESSAGE(traffic.name, ": ", after.count(), " s after a change, share considered slow: of recovered ",
            recovered.slow_share(), ", of slowed ", slowed.slow_share());
        CHECK(recovered.slow_share() < 0.02);
        CHECK(slowed.slow_share() > 0.9);
        CHECK(unchanged.considered_slow == 0);
    }
}

// Guards against an endpoint with many prompts being taken for a slow one: its steps are as short as those of others,
// but more of its samples contain prompts.
TEST_CASE("a busy endpoint is not considered slow")
{
    for (auto const& traffic : { usual_traffic, thin_traffic, short_traffic }) {
        CAPTURE(traffic.name);
        Boxes boxes(traffic, 31);
        for (std::size_t engine = 0; engine < engine_count; ++engine)
            boxes.engines[engine].prompts_per_second *= is_first_third(engine) ? 2.5 : 1;
        boxes.run_for(seconds(12));
        auto const busy = spread_during(boxes, 40, is_first_third);
        MESSAGE(
            traffic.name, ": busy ", busy.least, " to ", busy.greatest, ", share considered slow ", busy.slow_share());
        CHECK(busy.slow_share() < (traffic.gap_seconds > 12 ? 0.05 : 0.01));
        CHECK(spread(boxes, is_second_third).considered_slow == 0);
    }
}

TEST_CASE("few samples of one box change the factor little, and it returns to 1 without new samples")
{
    EndpointPace pace;
    CHECK(pace.factor(start) == 1);
    for (int sample = 0; sample < 4; ++sample)
        pace.add(2.4, start + milliseconds(250) * sample);
    CHECK(pace.factor(start + seconds(1)) <= 1.1);
    for (int sample = 4; sample < 32; ++sample)
        pace.add(2.4, start + milliseconds(250) * sample);
    CHECK(pace.factor(start + seconds(8)) > 1.25);
    CHECK(pace.factor(start + seconds(30)) == 1);
    CHECK(pace.samples(start + seconds(30)) == 0);
}

TEST_CASE("the box's newest samples are reported while they are new")
{
    EndpointPace pace;
    CHECK_FALSE(pace.own_samples(start));
    pace.add(1.5, start);
    pace.add(1.2, start + milliseconds(200));
    pace.add(3, start + milliseconds(400));
    CHECK(pace.own_samples(start + milliseconds(400)) == PaceSamples { 1.2, 3 });
    CHECK_FALSE(pace.own_samples(start + seconds(4)));
}

// Guards against damage by boxes with a fault: their reports must not move an estimate out of its bounds, nor
// noticeably if most boxes report correctly.
TEST_CASE("factors that are not finite, zero or huge are ignored or bounded")
{
    constexpr auto infinity = std::numeric_limits<double>::infinity();
    for (double const invalid : { 0.0, -1.0, infinity, -infinity, std::numeric_limits<double>::quiet_NaN() }) {
        EndpointPace pace;
        for (std::uint64_t box = 0; box < 50; ++box)
            pace.apply_peer(box, { invalid, 8 }, start);
        pace.add(invalid, start);
        CHECK(pace.factor(start) == 1);
        CHECK(pace.samples(start) == 0);
    }
    for (double const extreme : { 1e-300, 1e-9, 1e9, 1e300 }) {
        EndpointPace pace;
        for (std::uint64_t box = 0; box < 50; ++box)
            pace.apply_peer(box, { extreme, std::numeric_limits<unsigned>::max() }, start);
        CHECK(pace.factor(start) >= 0.25);
        CHECK(pace.factor(start) <= 4);
    }
    for (double const extreme : { 1e-9, 1e9 }) {
        EndpointPace pace;
        for (std::uint64_t box = 0; box < 30; ++box)
            pace.apply_peer(box, { box < 3 ? extreme : 1.0 + 0.005 * static_cast<double>(box), 4 }, start);
        CHECK(pace.factor(start) == 1);
    }
    EndpointPace without_samples;
    without_samples.apply_peer(1, { 4, 0 }, start);
    CHECK(without_samples.samples(start) == 0);
}

TEST_CASE("memory is bounded, whatever boxes report")
{
    EndpointPace pace;
    for (std::uint64_t box = 0; box < 10'000; ++box)
        pace.apply_peer(box, { 1, 8 }, start + std::chrono::microseconds(box));
    for (int sample = 0; sample < 10'000; ++sample)
        pace.add(1, start + milliseconds(1) * sample);
    CHECK(pace.samples(start + seconds(10)) <= (64 + 17) * EndpointPace::max_group_samples);
}

TEST_CASE("a change is reported once, and not again for a factor near the limit")
{
    EndpointPace pace;
    auto now = start;
    auto const add_all = [&](double factor) {
        for (std::uint64_t box = 0; box < 40; ++box)
            pace.apply_peer(box, { factor, 4 }, now);
    };
    CHECK_FALSE(pace.take_change(now));
    add_all(1.4);
    CHECK(pace.is_slow(now));
    CHECK(pace.take_change(now) == std::optional(true));
    CHECK_FALSE(pace.take_change(now));
    now += seconds(1);
    add_all(1.22);
    CHECK_FALSE(pace.is_slow(now));
    CHECK_FALSE(pace.take_change(now));
    now += seconds(1);
    add_all(1);
    CHECK(pace.take_change(now) == std::optional(false));
    CHECK_FALSE(pace.take_change(now));
}
