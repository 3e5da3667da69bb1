#include <TestMain.h>

#include <LibRouting/ConnectionAdmission.h>
#include <algorithm>
#include <deque>

using namespace Routing;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto start = Instant {} + seconds(100);

/// A box that handles one event after another: reads a request for each connection that it takes, and serves it later.
struct SlowBox {
    /// Processor time of reading a request, and of serving it.
    Duration read_time { milliseconds(8) };
    Duration serve_time { milliseconds(25) };
    /// How long clients wait for an answer.
    Duration patience { milliseconds(600) };
    bool has_admission { true };

    unsigned taken { 0 };
    unsigned served { 0 };
    Duration longest_pause { 0 };

    /// Connections come at this interval. Returns when all that were taken are served.
    void play(Duration interval, Duration length)
    {
        ConnectionAdmission admission;
        std::deque<Instant> unread;
        std::deque<Instant> read;
        auto now = start;
        auto next_arrival = start;
        auto last_taken = start;
        while (now < start + length || !unread.empty() || !read.empty()) {
            for (; next_arrival <= now && next_arrival < start + length; next_arrival += interval) {
                auto const lag = static_cast<std::int64_t>(unread.size()) * this->read_time
                    + static_cast<std::int64_t>(read.size()) * this->serve_time;
                if (this->has_admission && !admission.may_take({ lag, unread.size() + read.size() }, now))
                    continue;
                ++this->taken;
                this->longest_pause = std::max(this->longest_pause, next_arrival - last_taken);
                last_taken = next_arrival;
                unread.push_back(next_arrival);
            }
            if (!unread.empty()) {
                now += this->read_time;
                read.push_back(unread.front());
                unread.pop_front();
            } else if (!read.empty()) {
                now += this->serve_time;
                this->served += now - read.front() <= this->patience ? 1 : 0;
                read.pop_front();
            } else {
                now = std::max(now, next_arrival) + microseconds(1);
            }
        }
    }
};

}

TEST_CASE("a box that gets a hundred times what it can serve serves what it takes, and takes some all the time")
{
    SlowBox box;
    box.play(microseconds(300), seconds(20));
    CHECK(box.taken > 0);
    CHECK(4 * box.served >= 3 * box.taken);
    CHECK(box.longest_pause <= seconds(1));
    SUBCASE("which it does not without admission")
    {
        SlowBox without;
        without.has_admission = false;
        without.play(microseconds(3000), seconds(5));
        CHECK(4 * without.served < 3 * without.taken);
    }
}

TEST_CASE("a box that keeps up takes all connections, also many that send nothing yet")
{
    ConnectionAdmission admission;
    for (std::size_t unread = 0; unread < 1000; ++unread)
        CHECK(admission.may_take({ milliseconds(1), unread }, start));
}

TEST_CASE("a box that is far behind still takes a connection now and then")
{
    ConnectionAdmission admission;
    unsigned taken = 0;
    for (auto now = start; now < start + seconds(3); now += milliseconds(10))
        taken += admission.may_take({ seconds(1), 100 }, now) ? 1 : 0;
    CHECK(taken >= 3);
    CHECK(taken <= 7);
}
