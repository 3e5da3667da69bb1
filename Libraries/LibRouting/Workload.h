#pragma once

#include <LibRouting/PromptCacheEstimate.h>

#include <vector>

namespace Routing {

/// The work of a request at an endpoint. A request without a prompt is a call to a service without engines.
struct Workload {
    std::vector<PromptPart> prompt;
    std::uint32_t prompt_tokens { 0 };
    /// Maximum number of tokens in the answer.
    std::uint32_t answer_tokens { 0 };

    bool operator==(Workload const&) const = default;
};

}
