#include <TestMain.h>

#include <LibMembership/StreamOriginMessage.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <pcg_random.hpp>
#include <set>

using namespace Membership;

namespace {

using std::chrono::seconds;

constexpr std::size_t holder_count = 3;
constexpr std::size_t asked_count = 5;

Instant at(seconds passed)
{
    return Instant { std::chrono::hours(1) } + passed;
}

StreamId stream(std::uint64_t number)
{
    return Routing::stream_id_of("account", "attempt-" + std::to_string(number));
}

BoxRecord box(int number)
{
    return { "box-" + std::to_string(number), { "10.0.0.1", static_cast<std::uint16_t>(1000 + number) },
        "hall-" + std::to_string(number % 3), 1'000'000, 0 };
}

BoxDirectory directory(int count)
{
    std::vector<BoxRecord> records;
    records.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        records.push_back(box(number));
    BoxDirectory boxes;
    boxes.replace_all(records);
    return boxes;
}

/// Boxes that hold origins of streams, by name, and messages between them, some of which get lost.
struct Fleet {
    explicit Fleet(int count)
        : boxes(directory(count))
        , random(7)
    {
    }

    [[nodiscard]] std::string draw_box() { return box(static_cast<int>(this->random(this->boxes.size()))).name; }
    [[nodiscard]] bool is_lost()
    {
        constexpr std::uint32_t lost_of_hundred = 2;
        return this->random(100) < lost_of_hundred;
    }
    void begin(std::string const& server, std::uint64_t number)
    {
        KnownStream const known { stream(number), { "model", "v" + std::to_string(number % 3) }, seconds(60) };
        this->origins[server].put(known, at(seconds(0)));
        this->send_to_holders(server, known);
    }
    void send_to_holders(std::string const& from, KnownStream const& known)
    {
        for (auto const& holder : stream_holders(this->boxes, from, known.stream, holder_count)) {
            if (!this->is_lost())
                this->origins[holder.name].put(known, at(seconds(0)));
        }
    }
    void kill(std::string const& name) { this->origins.erase(name); }
    void stop(std::string const& name)
    {
        for (auto const& known : this->origins[name].all(at(seconds(0))))
            this->send_to_holders(name, known);
        this->kill(name);
    }
    /// Whether the box that the client comes back to finds the version, by the list that this box has.
    [[nodiscard]] bool finds(std::string const& asking, BoxDirectory const& known, std::uint64_t number)
    {
        auto found = this->origins[asking].find(stream(number), at(seconds(1)));
        for (auto const& asked : stream_holders(known, asking, stream(number), asked_count)) {
            if (!found && !this->is_lost())
                found = this->origins[asked.name].find(stream(number), at(seconds(1)));
        }
        CHECK((!found || found->origin.version == "v" + std::to_string(number % 3)));
        return found.has_value();
    }

    BoxDirectory boxes;
    pcg32 random;
    std::map<std::string, StreamOrigins> origins;
};

constexpr std::uint64_t stream_count = 2000;

}

TEST_CASE("a stream is found at any box after the box that served it was killed, while others restart and join")
{
    for (int const count : { 6, 88, 985 }) {
        CAPTURE(count);
        Fleet fleet(count);
        std::uint64_t found = 0;
        for (std::uint64_t number = 0; number < stream_count; ++number) {
            auto const server = fleet.draw_box();
            fleet.begin(server, number);
            fleet.kill(server);
            if (number % 10 == 0)
                fleet.kill(fleet.draw_box());
            auto const later = directory(count + static_cast<int>(number % 3));
            found += fleet.finds(fleet.draw_box(), later, number) ? 1 : 0;
        }
        MESSAGE(count << " boxes: " << found << " of " << stream_count);
        CHECK(2 * found >= stream_count);
    }
}

TEST_CASE("streams are found after all boxes were stopped one after the other")
{
    for (int const count : { 6, 88, 985 }) {
        CAPTURE(count);
        Fleet fleet(count);
        for (std::uint64_t number = 0; number < stream_count; ++number)
            fleet.begin(fleet.draw_box(), number);
        for (int number = 0; number < count; ++number)
            fleet.stop(box(number).name);
        std::uint64_t found = 0;
        for (std::uint64_t number = 0; number < stream_count; ++number)
            found += fleet.finds(fleet.draw_box(), fleet.boxes, number) ? 1 : 0;
        MESSAGE(count << " boxes: " << found << " of " << stream_count);
        CHECK(2 * found >= stream_count);
    }
}

TEST_CASE("the boxes that hold a stream are in different failure domains and share the streams evenly")
{
    auto const boxes = directory(88);
    std::map<std::string, std::size_t> held;
    for (std::uint64_t number = 0; number < stream_count; ++number) {
        std::set<std::string> domains;
        for (auto const& holder : stream_holders(boxes, "box-1", stream(number), holder_count)) {
            CHECK(holder.name != "box-1");
            domains.insert(holder.failure_domain);
            ++held[holder.name];
        }
        CHECK(domains.size() == holder_count);
    }
    auto const mean = holder_count * stream_count / boxes.size();
    CHECK(std::ranges::all_of(held, [mean](auto const& entry) { return entry.second < 3 * mean; }));
    CHECK(stream_holders(directory(1), "box-0", stream(1), holder_count).empty());
}

TEST_CASE("streams are forgotten when their clients no longer wait, and memory is bounded")
{
    StreamOrigins origins;
    origins.put({ stream(1), { "model", "v1" }, seconds(5) }, at(seconds(0)));
    CHECK(origins.find(stream(1), at(seconds(4)))->valid_for == seconds(1));
    CHECK_FALSE(origins.find(stream(1), at(seconds(5))));
    CHECK_FALSE(origins.find(Routing::stream_id_of("other", "attempt-1"), at(seconds(0))));
    origins.expire(at(seconds(5)));
    CHECK(origins.size() == 0);
    for (std::uint64_t number = 0; number <= StreamOrigins::max_entries; ++number)
        origins.put({ stream(number), { "model", "v1" }, seconds(5 + (number > 0 ? 1 : 0)) }, at(seconds(0)));
    CHECK(origins.size() == StreamOrigins::max_entries);
    CHECK_FALSE(origins.find(stream(0), at(seconds(0))));
}

TEST_CASE("messages of origins arrive as they were sent, and other bytes are none")
{
    StreamOriginMessage const message { { { stream(1), { "model", "v1.2" }, seconds(3) } }, { stream(2) },
        { stream(3) } };
    CHECK(decode_stream_origins(encode(message)) == message);
    CHECK_FALSE(decode_stream_origins(""));
    CHECK_FALSE(decode_stream_origins("no message"));
    CHECK_FALSE(decode_stream_origins(encode({ { { stream(1), { "", "v1" }, seconds(3) } }, {}, {} })));
    StreamOriginMessage const too_long { {}, std::vector<StreamId>(max_streams_per_message + 1), {} };
    CHECK_FALSE(decode_stream_origins(encode(too_long)));
}
