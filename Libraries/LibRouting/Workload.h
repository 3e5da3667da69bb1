#pragma once

#include <LibRouting/PromptCacheEstimate.h>

#include <vector>

namespace Routing {

/// What a request asks of an endpoint. Without a prompt it is a call of a plain service.
struct Workload {
    std::vector<PromptPart> prompt;
    std::uint32_t prompt_tokens { 0 };
    /// The most tokens that the answer may have.
    std::uint32_t answer_tokens { 0 };

    bool operator==(Workload const&) const = default;
};

}
