#pragma once

#include <LibRouting/Configuration.h>

#include <list>
#include <unordered_map>

namespace Routing {

/// A stretch of a prompt that several requests may begin with.
struct PromptPart {
    std::uint64_t id { 0 };
    std::uint32_t tokens { 0 };

    bool operator==(PromptPart const&) const = default;
};

/// The parts of prompts that an engine is believed to keep, by what this box sent there.
class PromptMemory {
public:
    /// Notes that the engine read or used these parts now.
    void remember(std::vector<PromptPart> const& parts, Instant now);
    /// Whether the part was used there a short while ago.
    [[nodiscard]] bool holds(std::uint64_t part, Instant now) const;

private:
    /// How long an unused part is believed to stay: an engine of the first sites takes in about 17,000 tokens a second
    /// at its usual load and keeps 290,000.
    static constexpr Duration believed_kept { std::chrono::seconds(10) };
    /// Bounds the memory for one endpoint to some 60 KB.
    static constexpr std::size_t max_parts = 512;

    struct Kept {
        std::uint64_t id { 0 };
        Instant used_at;
    };

    std::list<Kept> newest_first;
    std::unordered_map<std::uint64_t, std::list<Kept>::iterator> by_id;
};

}
