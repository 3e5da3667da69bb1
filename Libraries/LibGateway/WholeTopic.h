#pragma once

#include <LibGateway/HttpConnection.h>
#include <platform/StoreRecords.h>

#include <algorithm>
#include <iterator>

namespace Gateway {

/// The newest record of each key of a topic.
struct WholeTopic {
    std::vector<Adapter::KeyedRecord> records;
    /// The offset of each record in the topic's log, in the same order.
    std::vector<std::uint64_t> offsets;
    /// Where to continue reading. No record appended after the first page was made is missed.
    std::uint64_t end { 0 };
    /// Number of records that can't be read.
    std::size_t unreadable { 0 };
};

/// Reads a topic page by page. `call` fetches a path with its query; it returns nothing after a failure that it has
/// handled itself. Returns nothing if a call fails, and nothing with a reason if an answer can't be read.
template <typename Call>
[[nodiscard]] Task<std::optional<WholeTopic>> read_whole_topic(
    Adapter::Topic topic, Core::LastReason& last_reason, Call call)
{
    WholeTopic whole;
    std::optional<std::string> after;
    bool is_first = true;
    do {
        auto const target = Adapter::newest_target(topic, after);
        auto const answer = co_await call(target);
        if (!answer)
            co_return std::nullopt;
        auto page = Adapter::decode_newest(answer->body, last_reason);
        if (!page)
            co_return std::nullopt;
        // NOTE: Pages are not a consistent snapshot, so reading continues at the end of the log as of the first page.
        if (std::exchange(is_first, false))
            whole.end = page->end;
        after = page->continue_after;
        whole.unreadable += page->unreadable;
        std::ranges::move(page->records, std::back_inserter(whole.records));
        std::ranges::copy(page->offsets, std::back_inserter(whole.offsets));
    } while (after);
    co_return whole;
}

}
