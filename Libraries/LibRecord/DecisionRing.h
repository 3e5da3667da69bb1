#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Reason.h>
#include <LibTraffic/TrafficTypes.h>

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Record {

enum class DecisionKind {
    Arrived,
    Queued,
    Placed,
    Refused,
    Preempted,
    Retried,
    Claimed,
    Ended,
};

[[nodiscard]] std::string_view to_string(DecisionKind kind);

/// One decision on one request, with its inputs.
struct DecisionRecord {
    Core::RequestId request;
    /// Wall clock of the box, in milliseconds since 1970.
    std::int64_t at_milliseconds { 0 };
    DecisionKind kind { DecisionKind::Arrived };
    Core::Reason reason { Core::Reason::None };
    std::string request_class;
    std::string account;
    std::string pool;
    /// The endpoint concerned, if any.
    std::string endpoint;
    Core::Offset settings_version;
    Traffic::DecisionInputs inputs;

    bool operator==(DecisionRecord const&) const = default;
    /// Formats the record as one human-readable line.
    [[nodiscard]] std::string to_sentence() const;
};

/// The latest decisions of a box, limited to `capacity` records. Thread-safe.
class DecisionRing {
public:
    explicit DecisionRing(std::size_t capacity)
        : capacity(capacity)
    {
    }

    void add(DecisionRecord record);
    [[nodiscard]] std::vector<DecisionRecord> find(Core::RequestId request) const;
    /// Number of records dropped so far to make room for newer ones.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<DecisionRecord> records;
    std::uint64_t first_sequence { 0 };
    std::unordered_map<Core::RequestId, std::vector<std::uint64_t>> sequences_of_request;
};

}
