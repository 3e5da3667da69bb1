#include <TestMain.h>

#include <LibLeader/LeaderLog.h>

#include <algorithm>
#include <pcg_random.hpp>

using namespace Leader;

namespace {

/// The leader's topic in the store: appends under a condition, some carried out late, and returns from a copy.
class Store {
public:
    struct Append {
        std::vector<LogRecord> records;
        std::uint64_t expected_end { 0 };
    };

    /// Nothing where the log ends elsewhere.
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

    [[nodiscard]] LeaderLog read() const
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
        return LeaderLog::from(list, this->records.size(), this->era);
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

/// Claims for the process, as of what it reads now, while the window is in progress.
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

TEST_CASE("the last claim leads, and its token is higher than all before")
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

TEST_CASE("a token rises across a return from a copy, although offsets are given out again")
{
    Store store;
    REQUIRE(append_claim(store, 1));
    auto const before = append_claim(store, 2)->token()->value();
    store.restore_without_last(2);
    CHECK(store.read().status(2) == LeaderLog::Status::Vacant);
    CHECK(append_claim(store, 1)->token()->value() > before);
}

TEST_CASE("a box that another one followed writes nothing more")
{
    Store store;
    auto const first = append_claim(store, 1);
    REQUIRE(append_claim(store, 2));
    CHECK_FALSE(store.append({ first->report_records(7, { { "a", 3 } }), first->end() }));
}

TEST_CASE("a new leader leaves out what is reported, and what may be and was lost")
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

// What is at stake: two reports of one window that differ. Order of events: a leader reports a window; the store comes
// back from a copy without its claim and its report; another box takes the lead and leaves the window out, and ends; a
// third one follows it. Cause: a log without any claim was taken for that of a deployment that starts, and what one
// leader left out was not known to the next. Evidence: the model's trail, before this.
TEST_CASE("what one leader left out stays left out, also where the store lost every claim")
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

// What is at stake: the platform gets the report of one window twice, with other counts. Order of events: a leader's
// append gets no answer; it, or its successor, writes the window's report with other counts and sends it; the store
// comes back from a copy without that record, and the first append is carried out now, where the log ends as it
// expected. Cause: the late record was taken for the report. Evidence: a random history of the last case, before this.
TEST_CASE("a report of before the copy only says that its window is to be left out")
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
    SUBCASE("a successor that knows nothing of it")
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

TEST_CASE("old reports are dropped from the log as new ones are written")
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

/// A box as its shell drives the log: reads, claims, writes reports and sends what it holds to be written.
struct Box {
    std::uint64_t process { 0 };
    LeaderLog log;
    bool leads { false };
    std::uint64_t next { 0 };
    /// Appends that got no answer: they may be carried out later.
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

    /// Nothing where the condition failed, or the answer was lost.
    std::optional<std::uint64_t> try_append(Box& box, Store::Append const& append)
    {
        if (this->happens(0.15)) {
            box.pending.push_back(append);
            return {};
        }
        auto const offset = this->store.append(append);
        // An answer of another history than the one that the box knows says nothing.
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

    /// What the platform gets: every report of the log, as the box knows it.
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

// What is at stake: a platform that gets two reports of one window with other counts bills wrongly. Boxes that stand
// still, die, and come back, answers that are lost, appends that are carried out late, and a store that forgets what it
// had acknowledged.
TEST_CASE("whatever happens, no window is reported twice with other counts")
{
    std::size_t reported = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        World world(seed);
        for (int step = 0; step < 400; ++step)
            world.step();
        reported += world.sent.size();
    }
    // Most windows are reported, so the check above looks at something.
    CHECK(reported > 300 * 20);
}
