#include <TestMain.h>

#include <LibMembership/RelaySearch.h>
#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace {

using namespace Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t wide = 25'000'000;
constexpr std::uint64_t narrow = 2'500'000;

/// Boxes of five failure domains that start together, before a store with limited rates, in virtual time.
class StartingBoxes {
public:
    explicit StartingBoxes(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            BoxRecord const record { "box-" + std::to_string(number), { "10.0.0.1", 7000 },
                "domain-" + std::to_string(number % domains), number % 20 < domains ? wide : narrow };
            Box box { record, RelaySearch(record, number), this->now + milliseconds(this->random(300)) };
            this->boxes.push_back(std::move(box));
        }
    }

    /// Runs until all boxes have a relay or lead; returns how long that took, or `limit`.
    Duration run_until_found(Duration limit)
    {
        auto const begin = this->now;
        while (this->now - begin < limit && !this->are_all_served())
            this->run(check_interval);
        return this->now - begin;
    }
    void run(Duration duration)
    {
        for (auto const end = this->now + duration; this->now < end;)
            this->step();
    }
    /// Ends all boxes. They start again within 0.3 s.
    void restart_all()
    {
        for (auto& box : this->boxes)
            this->restart(box);
    }
    /// The records of the store name boxes that don't exist any more.
    void replace_recorded_boxes()
    {
        for (auto& [domain, record] : this->records)
            record.name = "gone-" + domain;
    }

    [[nodiscard]] std::size_t leaders() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->boxes, [](Box const& box) { return box.leads; }));
    }
    [[nodiscard]] bool are_all_served() const
    {
        return std::ranges::all_of(this->boxes, [this](Box const& box) { return this->is_served(box); });
    }

    /// Whether the store answers this box now.
    std::function<bool(std::size_t)> store_answers = [](std::size_t) { return true; };
    /// Calls that reached the store.
    std::size_t calls { 0 };

private:
    static constexpr std::size_t domains = 5;
    static constexpr Duration step_length = milliseconds(1);
    static constexpr Duration check_interval = milliseconds(20);
    static constexpr Duration round_trip = milliseconds(4);
    static constexpr Duration timeout = milliseconds(700);
    /// Of the store, for all boxes together.
    static constexpr std::size_t reads_per_second = 16'000;
    static constexpr std::size_t appends_per_second = 1'000;

    struct Box {
        BoxRecord record;
        RelaySearch search;
        Instant acts_at;
        bool leads { false };
        std::optional<std::string> follows {};
        /// The call under way; `is_claim` is the kind.
        bool has_call { false };
        bool is_claim { false };
        bool is_answered { false };
        std::uint64_t read_at_end { 0 };
    };

    /// The store's queue for one kind of calls.
    struct Queue {
        Instant free_at;

        Duration take(Instant now, std::size_t per_second)
        {
            this->free_at = std::max(this->free_at, now) + Core::from_seconds(1.0 / static_cast<double>(per_second));
            return this->free_at - now;
        }
    };

    void restart(Box& box)
    {
        auto const number = static_cast<std::uint64_t>(&box - this->boxes.data());
        box.search = RelaySearch(box.record, number + ++this->restarts * this->boxes.size());
        box.acts_at = this->now + milliseconds(this->random(300));
        this->leading.erase(box.record.name);
        box.leads = box.has_call = false;
        box.follows.reset();
    }

    [[nodiscard]] bool is_served(Box const& box) const
    {
        return box.leads || (box.follows && this->leading.contains(*box.follows));
    }

    void step()
    {
        this->now += step_length;
        for (std::size_t number = 0; number < this->boxes.size(); ++number) {
            if (this->now >= this->boxes[number].acts_at)
                this->act(this->boxes[number], number);
        }
    }

    void act(Box& box, std::size_t number)
    {
        if (box.has_call)
            this->finish_call(box);
        auto const step = box.search.next(this->now);
        if (auto const* const wait = std::get_if<RelaySearch::Wait>(&step)) {
            box.acts_at = this->now + wait->duration;
        } else if (auto const* const follow = std::get_if<RelaySearch::Follow>(&step)) {
            this->follow(box, follow->relay);
        } else if (std::holds_alternative<RelaySearch::Lead>(step)) {
            box.leads = true;
            this->leading.insert(box.record.name);
            box.acts_at = Instant::max();
        } else {
            this->begin_call(box, number, std::holds_alternative<RelaySearch::Claim>(step));
        }
    }

    void begin_call(Box& box, std::size_t number, bool is_claim)
    {
        ++this->calls;
        box.has_call = true;
        box.is_claim = is_claim;
        auto const waited = is_claim ? this->appends.take(this->now, appends_per_second)
                                     : this->reads.take(this->now, reads_per_second);
        auto const duration = round_trip + waited;
        box.is_answered = this->store_answers(number) && duration < timeout;
        box.acts_at = this->now + (box.is_answered ? duration : timeout);
    }

    void finish_call(Box& box)
    {
        box.has_call = false;
        if (!box.is_answered) {
            box.search.read_failed(this->now);
            return;
        }
        if (!box.is_claim) {
            box.read_at_end = this->end;
            auto const found = this->records.find(box.record.failure_domain);
            box.search.record_read(
                found == this->records.end() ? std::nullopt : std::optional(found->second), this->now);
        } else if (box.read_at_end != this->end) {
            box.search.claim_failed(this->now);
        } else {
            ++this->end;
            this->records.insert_or_assign(box.record.failure_domain, box.record);
            box.search.claimed();
        }
    }

    void follow(Box& box, BoxRecord const& relay)
    {
        constexpr auto max_silence = milliseconds(1200);
        auto const found
            = std::ranges::find_if(this->boxes, [&](Box const& other) { return other.record.name == relay.name; });
        bool const exists = found != this->boxes.end();
        if (!exists && box.follows == relay.name) {
            box.search.relay_lost(relay.name, this->now);
            box.follows.reset();
            return;
        }
        box.follows = relay.name;
        box.acts_at = exists ? Instant::max() : this->now + max_silence;
    }

    Instant now { seconds(1000) };
    std::vector<Box> boxes;
    /// Names of the boxes that lead.
    std::set<std::string> leading;
    std::map<std::string, BoxRecord> records;
    std::uint64_t end { 0 };
    Queue reads;
    Queue appends;
    pcg32 random { 20261203 };
    std::uint64_t restarts { 0 };
};

/// Sizes of a fleet: a small one, a whole one and twice that.
constexpr std::array sizes { std::size_t { 30 }, std::size_t { 985 }, std::size_t { 1970 } };

}

// Guards against a start whose cost grows with the square of the boxes: each of 985 read the list of all, and none
// served.
TEST_CASE("boxes that start together find their relays within two seconds and with a few calls each, at any size")
{
    for (auto const size : sizes) {
        CAPTURE(size);
        StartingBoxes boxes(size);
        CHECK(boxes.run_until_found(seconds(10)) < seconds(2));
        CHECK(boxes.leaders() == 5);
        CHECK(boxes.calls <= 4 * size);
    }
}

TEST_CASE("boxes that all start again find the boxes that led before")
{
    for (auto const size : sizes) {
        CAPTURE(size);
        StartingBoxes boxes(size);
        boxes.run_until_found(seconds(10));
        boxes.calls = 0;
        boxes.restart_all();
        CHECK(boxes.run_until_found(seconds(10)) < seconds(2));
        CHECK(boxes.leaders() == 5);
        CHECK(boxes.calls <= 2 * size);
    }
}

TEST_CASE("boxes find others in place of relays that are gone")
{
    for (auto const size : sizes) {
        CAPTURE(size);
        StartingBoxes boxes(size);
        boxes.run_until_found(seconds(10));
        boxes.replace_recorded_boxes();
        boxes.restart_all();
        boxes.calls = 0;
        CHECK(boxes.run_until_found(seconds(10)) < seconds(4));
        CHECK(boxes.leaders() == 5);
        CHECK(boxes.calls <= 6 * size);
    }
}

// Guards against load that keeps itself up: what failed at once came back at once, whole, from every box.
TEST_CASE(
    "a store that was away while all boxes started gets few calls, and all boxes find their relays after its return")
{
    for (auto const size : sizes) {
        CAPTURE(size);
        StartingBoxes boxes(size);
        boxes.store_answers = [](std::size_t) { return false; };
        boxes.run(seconds(10));
        // One call of each box in a second and a half on average.
        CHECK(boxes.calls <= 10 * size);
        boxes.store_answers = [](std::size_t) { return true; };
        CHECK(boxes.run_until_found(seconds(10)) <= seconds(4));
        CHECK(boxes.leaders() == 5);
    }
}

TEST_CASE("boxes that the store turns away are not found by others, which serve meanwhile")
{
    for (auto const size : sizes) {
        CAPTURE(size);
        StartingBoxes boxes(size);
        boxes.store_answers = [](std::size_t number) { return number % 3 != 0; };
        boxes.run(seconds(10));
        CHECK(boxes.leaders() == 5);
        boxes.store_answers = [](std::size_t) { return true; };
        CHECK(boxes.run_until_found(seconds(10)) <= seconds(4));
        CHECK(boxes.leaders() == 5);
    }
}

TEST_CASE("a box alone in its failure domain leads")
{
    StartingBoxes boxes(5);
    CHECK(boxes.run_until_found(seconds(10)) < seconds(2));
    CHECK(boxes.leaders() == 5);
}

TEST_CASE("a box with a wide link claims before one with a narrow link that found nothing at the same time")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        RelaySearch first({ "wide", { "10.0.0.1", 7000 }, "a", wide }, seed);
        RelaySearch second({ "narrow", { "10.0.0.1", 7000 }, "a", narrow }, seed);
        Instant const now { seconds(1) };
        first.record_read(std::nullopt, now);
        second.record_read(std::nullopt, now);
        CHECK(std::get<RelaySearch::Wait>(first.next(now)).duration
            < std::get<RelaySearch::Wait>(second.next(now)).duration);
    }
}

// Guards against a box that goes on waiting for a relay that responds but can't reach the store.
TEST_CASE("a box gives up a relay that is silent, and after a while one without a list or without recent data")
{
    using RelayState = RelaySearch::RelayState;
    using RelayLoss = RelaySearch::RelayLoss;
    RelaySearch search({ "b1", { "10.0.0.1", 7000 }, "a", wide }, 1);
    Instant const start { seconds(1) };
    auto const late = start + RelaySearch::max_list_wait;
    search.record_read(BoxRecord { "b2", { "10.0.0.2", 7000 }, "a", wide }, start);
    CHECK(search.loss(RelayState { start, true, true }, start + seconds(2)) == RelayLoss::DoesNotRespond);
    CHECK(!search.loss(RelayState {}, late - milliseconds(1)));
    CHECK(search.loss(RelayState { {}, false, true }, late) == RelayLoss::SentNoList);
    CHECK(search.loss(RelayState { {}, true, false }, late) == RelayLoss::HasOutdatedData);
    CHECK(!search.loss(RelayState { {}, true, true }, late));
    search.relay_lost("b2", late);
    CHECK(!search.loss(RelayState { start, false, false }, late));
    CHECK(std::holds_alternative<RelaySearch::ReadRecord>(search.next(late)));
}
