#include <TestMain.h>

#include <LibLeader/LeaderMessages.h>

using namespace Leader;

TEST_CASE("messages between boxes are decoded as they were encoded")
{
    Announcement const announcement { 77, "box", 12, 1'790'000'000'000'000, 5, true, { "10.0.0.1", 7000 } };
    UsageMessage const usage { 9, { { 12, { { "a", 3 }, { "b", 4 } } }, { 13, {} } }, 42 };
    CHECK(decode_leader_message(encode(announcement)) == std::optional<LeaderMessage>(announcement));
    CHECK(decode_leader_message(encode(usage)) == std::optional<LeaderMessage>(usage));
}

TEST_CASE("other bytes are no message")
{
    CHECK_FALSE(decode_leader_message(""));
    CHECK_FALSE(decode_leader_message("\xff\xfe garbage"));
    CHECK_FALSE(decode_leader_message(encode(Announcement { 0, "box", 0, 0, 0, false, {} })));
    CHECK_FALSE(decode_leader_message(encode(Announcement { 5, "", 0, 0, 0, false, {} })));
    CHECK_FALSE(decode_leader_message(encode(Announcement { 5, std::string(500, 'x'), 0, 0, 0, false, {} })));
    CHECK_FALSE(decode_leader_message(encode(UsageMessage { 0, {}, 0 })));
}

TEST_CASE("a report with too many accounts is rejected")
{
    AccountCounts counts;
    for (int account = 0; account < 5000; ++account)
        counts["a" + std::to_string(account)] = 1;
    CHECK_FALSE(decode_report(encode_report(7, counts)));
    CHECK_FALSE(decode_report(encode_report(0, {})));
    CHECK(decode_report(encode_report(7, {})) == std::pair<std::uint64_t, AccountCounts>(7, {}));
}
