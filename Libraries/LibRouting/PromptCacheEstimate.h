#pragma once

#include <LibRouting/Configuration.h>

#include <list>
#include <unordered_map>

namespace Routing {

/// A section of a prompt that several requests may share as their beginning.
struct PromptPart {
    std::uint64_t id { 0 };
    std::uint32_t tokens { 0 };

    bool operator==(PromptPart const&) const = default;
};

/// Estimates which prompt parts an engine has cached, from the requests that this box sent to the engine.
class PromptCacheEstimate {
public:
    /// Records that the engine reads or reuses these parts now.
    void record(std::vector<PromptPart> const& parts, Instant now);
    /// Whether the part is probably cached.
    [[nodiscard]] bool contains(std::uint64_t part, Instant now) const;

private:
    /// How long an unused part is assumed to stay cached. An engine at its usual load takes in about 17,000 tokens per
    /// second and keeps 290,000.
    static constexpr Duration retention { std::chrono::seconds(10) };
    /// Limits the memory for one endpoint to some 60 KB.
    static constexpr std::size_t max_parts = 512;

    struct Entry {
        std::uint64_t id { 0 };
        Instant used_at;
    };

    std::list<Entry> newest_first;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_id;
};

}
