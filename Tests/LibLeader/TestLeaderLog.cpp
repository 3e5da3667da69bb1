#include <TestMain.h>

#include <LibLeader/LeaderLog.h>

#include <algorithm>
#include <pcg_random.hpp>

using namespace Leader;

namespace {

constexpr UsageSchedule schedule { std::chrono::seconds(5), std::chrono::seconds(10) };

/// The leader's topic in the store: conditional appends, some executed late, and restores from a copy.
class Store {
public:
    struct Append {
        std::vector<LogRecord> records;
        std::uint64_t expected_end { 0 };
    };

    /// Nothing if the log ends elsewhere.
    std::optional<std::uint64_t> append(Append const& append)
    {
        if (append.expected_end != this->records.size())
            return {};
        auto const offset = this->records.size();
        for (auto record : append.records) {
            record.offset = this->records.size();
            this->records.push_back(std::move(record));
        }
        return offset;
    }

    [[nodiscard]] LeaderLog read(UsageSchedule const& usage_schedule = schedule) const
    {
        std::map<std::string, LogRecord> newest;
        for (auto const& record : this->records) {
            newest.erase(record.key);
            if (record.value)
                newest.emplace(record.key, record);
        }
        std::vector<LogRecord> list;
        list.reserve(newest.size());
        for (auto const& [key, record] : newest)
            list.push_back(record);
        return LeaderLog::from(list, this->records.size(), this->era, usage_schedule);
    }

    void restore_without_last(std::size_t count)
    {
        this->records.resize(this->records.size() - std::min(count, this->records.size()));
        ++this->era;
    }

    std::vector<LogRecord> records;
    std::uint64_t era { 1 };
};

Claim claim_of(std::uint64_t process, LeaderLog const& log, std::uint64_t window)
{
    return { "box-" + std::to_string(process), process, log.era(), log.first_window(window) };
}

/// Reads the log and appends a claim of this process, while this window is in progress.
std::optional<LeaderLog> append_claim(Store& store, std::uint64_t process, std::uint64_t window = 0)
{
    auto log = store.read();
    auto const records = log.claim_records(claim_of(process, log, window), {});
    auto const offset = store.append({ records, log.end() });
    if (!offset)
        return {};
    log.append_succeeded(records, *offset);
    return log;
}

}

TEST_CASE("the last claim determines the leader, and its token is higher than all earlier ones")
{
    Store store;
    auto const first = append_claim(store, 1);
    REQUIRE(first);
    auto const second = append_claim(store, 2);
    REQUIRE(second);
    CHECK(second->status(2) == LeaderLog::Status::Leads);
    CHECK(store.read().status(1) == LeaderLog::Status::OtherLeads);
    CHECK(second->token()->value() > first->token()->value());
}

TEST_CASE("a token rises across a restore from a copy, although offsets are assigned again")
{
    Store store;
    REQUIRE(append_claim(store, 1));
    auto const before = append_claim(store, 2)->token()->value();
    store.restore_without_last(2);
    CHECK(store.read().status(2) == LeaderLog::Status::Vacant);
    CHECK(append_claim(store, 1)->token()->value() > before);
}

TEST_CASE("a leader that was replaced can append nothing")
{
    Store store;
    auto const first = append_claim(store, 1);
    REQUIRE(append_claim(store, 2));
    CHECK_FALSE(store.append({ first->report_records(7, { { "a", 3 } }), first->end() }));
}

TEST_CASE("a new leader skips windows with a report, and windows whose report may have been lost")
{
    Store store;
    auto log = append_claim(store, 1);
    auto const records = log->report_records(7, { { "a", 3 } });
    REQUIRE(store.append({ records, log->end() }));
    CHECK(store.read().first_window(8) == 8);
    CHECK(store.read().first_window(12) == 10);
    store.restore_without_last(1);
    CHECK(store.read().first_window(12) == 12);
}

TEST_CASE("a leader that takes over late loses no counts whose report is not due yet")
{
    Store store;
    REQUIRE(append_claim(store, 1, 80));
    CHECK(store.read({ std::chrono::seconds(1), std::chrono::seconds(10) }).first_window(100) == 90);
    CHECK(store.read({ std::chrono::seconds(5), std::chrono::seconds(10) }).first_window(100) == 98);
    CHECK(store.read({ std::chrono::seconds(1), std::chrono::seconds(60) }).first_window(100) == 80);
}

// Guards against two different reports of one window: a leader reports a window, the store is restored from a copy
// without the leader's claim and report, the next leader skips the window and stops, and a third one takes over. A log
// without any claim must not be treated as that of a new deployment, and a skipped window must remain skipped for later
// leaders.
TEST_CASE("a skipped window remains skipped by later leaders, even if the store lost every claim")
{
    Store store;
    REQUIRE(append_claim(store, 1, 7));
    store.restore_without_last(9);
    CHECK(store.read().first_window(8) == 8);
    REQUIRE(append_claim(store, 2, 8));
    CHECK(store.read().first_window(9) == 8);
    REQUIRE(append_claim(store, 3, 9));
    CHECK(store.read().first_window(9) == 8);
}

// Guards against two different reports of one window: a leader's append gets no response, so the leader or its
// successor writes and sends another report of the window; the store is restored from a copy without that record, and
// the first append is executed now, because the log ends where it expects. The late record must not count as the
// report.
TEST_CASE("a report from before a restore only causes its window to be skipped")
{
    Store store;
    auto log = append_claim(store, 1);
    auto const late = log->report_records(7, { { "a", 3 } });
    auto const expected_end = log->end();
    auto const sent = log->report_records(7, { { "a", 5 } });
    REQUIRE(store.append({ sent, expected_end }));
    log->append_succeeded(sent, expected_end);
    store.restore_without_last(1);
    REQUIRE(store.append({ late, expected_end }));
    SUBCASE("a successor that has not read the report")
    {
        auto const next = append_claim(store, 2);
        CHECK(next->reports().empty());
        CHECK(store.read().first_window(7) == 8);
    }
    SUBCASE("the leader that sent it")
    {
        auto next = store.read();
        auto const records = next.claim_records(claim_of(1, next, 7), log->reports());
        REQUIRE(store.append({ records, next.end() }));
        CHECK(store.read().reports().at(7).at("a") == 5);
    }
}

TEST_CASE("old reports are deleted from the log as new ones are written")
{
    Store store;
    auto log = *append_claim(store, 1);
    for (std::uint64_t window = 100; window < 140; ++window) {
        auto const records = log.report_records(window, { { "a", window } });
        auto const offset = store.append({ records, log.end() });
        REQUIRE(offset);
        log.append_succeeded(records, *offset);
    }
    CHECK(store.read().reports().size() <= 14);
    CHECK(log.reports().size() <= 26);
}

namespace {

/// A box that drives the log: it reads, claims, writes reports and sends those that are written.
struct Box {
    std::uint64_t process { 0 };
    LeaderLog log;
    bool leads { false };
    std::uint64_t next { 0 };
    /// Appends without a response: they may be executed later.
    std::vector<Store::Append> pending;
};

struct World {
    explicit World(std::uint64_t seed)
        : random(seed)
    {
        for (std::uint64_t process = 1; process <= 3; ++process)
            this->boxes.push_back({ process, {}, false, 0, {} });
    }

    bool happens(double chance) { return this->random() < chance * 4294967296.0; }

    void refresh(Box& box)
    {
        auto const known = box.log.reports();
        bool const led = box.leads;
        box.log = this->store.read();
        auto const status = box.log.status(box.process);
        box.leads = led && status == LeaderLog::Status::Leads;
        if (led && status == LeaderLog::Status::Vacant)
            this->claim(box, known);
    }

    void claim(Box& box, std::map<std::uint64_t, AccountCounts> const& known)
    {
        box.log = this->store.read();
        box.next = box.log.first_window(this->window);
        Store::Append const append { box.log.claim_records(claim_of(box.process, box.log, this->window), known),
            box.log.end() };
        auto const offset = this->try_append(box, append);
        if (!offset)
            return;
        box.log.append_succeeded(append.records, *offset);
        box.leads = true;
    }

    /// Nothing if the condition failed or the response was lost.
    std::optional<std::uint64_t> try_append(Box& box, Store::Append const& append)
    {
        if (this->happens(0.15)) {
            box.pending.push_back(append);
            return {};
        }
        auto const offset = this->store.append(append);
        // A response of another era than the one that the box has read proves nothing.
        if (this->store.era != box.log.era() || this->happens(0.1))
            return {};
        return offset;
    }

    void write(Box& box)
    {
        if (!box.leads || box.next >= this->window)
            return;
        if (!box.log.reports().contains(box.next)) {
            AccountCounts const counts { { "a", this->random() % 100 } };
            Store::Append const append { box.log.report_records(box.next, counts), box.log.end() };
            auto const offset = this->try_append(box, append);
            if (!offset) {
                this->refresh(box);
                return;
            }
            box.log.append_succeeded(append.records, *offset);
        }
        ++box.next;
    }

    /// Sends every report of the log, as far as the box has read it, to the platform.
    void send(Box const& box)
    {
        if (!box.leads)
            return;
        for (auto const& [reported, counts] : box.log.reports()) {
            auto const [position, is_first] = this->sent.try_emplace(reported, counts);
            if (!is_first)
                REQUIRE(position->second == counts);
        }
    }

    void step()
    {
        auto& box = this->boxes[this->random(3)];
        if (this->happens(0.02))
            this->store.restore_without_last(this->random(4));
        if (this->happens(0.3))
            ++this->window;
        for (auto& other : this->boxes) {
            if (!other.pending.empty() && this->happens(0.2)) {
                static_cast<void>(this->store.append(other.pending.back()));
                other.pending.pop_back();
            }
        }
        switch (this->random(5)) {
        case 0:
            this->refresh(box);
            break;
        case 1:
            if (this->happens(0.2))
                this->claim(box, box.leads ? box.log.reports() : std::map<std::uint64_t, AccountCounts> {});
            break;
        case 2:
            if (this->happens(0.05))
                box = { box.process + 10, {}, false, 0, {} };
            break;
        default:
            this->write(box);
            this->send(box);
        }
    }

    pcg32 random;
    Store store;
    std::vector<Box> boxes;
    std::uint64_t window { 100 };
    std::map<std::uint64_t, AccountCounts> sent;
};

}

// Guards against billing errors: the platform must never get two different reports of one window, even if boxes are
// suspended, crash and restart, responses are lost, appends are executed late, and the store loses acknowledged
// records.
TEST_CASE("no window ever gets two different reports, whatever fails")
{
    std::size_t reported = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        World world(seed);
        for (int step = 0; step < 400; ++step)
            world.step();
        reported += world.sent.size();
    }
    // Most windows are reported, so the check above is not vacuous.
    CHECK(reported > 300 * 20);
}
