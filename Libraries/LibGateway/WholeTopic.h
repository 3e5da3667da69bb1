#pragma once

#include <LibGateway/HttpConnection.h>
#include <platform/StoreRecords.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace Gateway {

/// The newest record of each key of a topic.
struct WholeTopic {
    std::vector<Adapter::KeyedRecord> records;
    /// The offset of each record in the topic's log, in the same order.
    std::vector<std::uint64_t> offsets;
    /// Where to continue reading. No record appended after the first page was made is missed.
    std::uint64_t end { 0 };
    /// The store's era as of the first page.
    std::uint64_t era { 0 };
    /// Number of records that can't be read.
    std::size_t unreadable { 0 };
};

/// What a box holds of a topic at most. The records of 20,000 endpoints, at 250 bytes each, take 5 MB.
constexpr std::size_t max_topic_bytes = 16UL * 1024 * 1024;

/// A longer value stands as dropped, so that other writers' records don't use up `max_topic_bytes`. Endpoints and boxes
/// write some 200 bytes; what operators and leaders write is as long as the store allows.
[[nodiscard]] constexpr std::size_t max_value_bytes(Adapter::Topic topic)
{
    constexpr std::size_t of_small_records = 16UL * 1024;
    bool const is_long = topic == Adapter::Topic::Operator || topic == Adapter::Topic::Leader;
    return is_long ? max_topic_bytes : of_small_records;
}

/// Reads a topic page by page. `call` fetches a path with its query; it returns nothing after a failure that it has
/// handled itself. Returns nothing if a call fails, and nothing with a reason if an answer can't be read, if a page
/// leads back to an earlier one, or if the topic exceeds `max_topic_bytes`.
template <typename Call>
[[nodiscard]] Task<std::optional<WholeTopic>> read_whole_topic(
    Adapter::Topic topic, Core::LastReason& last_reason, Call call)
{
    WholeTopic whole;
    std::optional<std::string> after;
    std::set<std::string> asked_after;
    std::size_t held_bytes = 0;
    bool is_first = true;
    do {
        auto const target = Adapter::newest_target(topic, after);
        auto const answer = co_await call(target);
        if (!answer)
            co_return std::nullopt;
        auto page = Adapter::decode_newest(answer->body, last_reason);
        if (!page)
            co_return std::nullopt;
        for (auto& [key, value] : page->records) {
            if (value && value->size() > max_value_bytes(topic)) {
                value.reset();
                ++page->unreadable;
            }
            held_bytes += key.size() + (value ? value->size() : 0);
        }
        if (held_bytes > max_topic_bytes) {
            last_reason.text = "topic exceeds " + std::to_string(max_topic_bytes) + " bytes";
            co_return std::nullopt;
        }
        if (page->continue_after && !asked_after.insert(*page->continue_after).second) {
            last_reason.text = "a page leads back to an earlier one";
            co_return std::nullopt;
        }
        // NOTE: Pages are not a consistent snapshot, so reading continues at the end of the log as of the first page.
        if (std::exchange(is_first, false)) {
            whole.end = page->end;
            whole.era = answer->era;
        }
        after = page->continue_after;
        whole.unreadable += page->unreadable;
        std::ranges::move(page->records, std::back_inserter(whole.records));
        std::ranges::copy(page->offsets, std::back_inserter(whole.offsets));
    } while (after);
    co_return whole;
}

}
