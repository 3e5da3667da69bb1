#pragma once

#include <LibRouting/Workload.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// What crashes of endpoints are counted for: a request that is sent again, or a part that prompts share. Equal on
/// every box and after a restart.
///
/// The account of a request is hashed separately: a client that constructs bodies to make `content` collide can only
/// affect requests of its own account. On public routes all clients have the same account. A prompt part is the same
/// whichever account sends it, so its account is 0.
struct CrashSuspect {
    enum class Kind : std::uint8_t {
        /// Hashes of the client account, and of host, path and body.
        Request,
        /// A hash of the service and of the part's id.
        PromptPart,
    };

    std::uint64_t account { 0 };
    std::uint64_t content { 0 };
    Kind kind { Kind::Request };

    auto operator<=>(CrashSuspect const&) const = default;
};

/// All suspects of one request.
struct CrashSuspects {
    CrashSuspect request;
    /// The parts of its prompt that other requests may share: all but the last.
    std::vector<CrashSuspect> prompt_parts;

    bool operator==(CrashSuspects const&) const = default;
};

[[nodiscard]] CrashSuspect fingerprint_of(
    std::string_view account, std::string_view host, std::string_view target, std::string_view body);

[[nodiscard]] CrashSuspect prompt_part_suspect(std::string_view service, std::uint64_t part_id);

/// `prompt` is that of the request, which is sent to `service`.
[[nodiscard]] CrashSuspects suspects_of(
    CrashSuspect request, std::string_view service, std::vector<PromptPart> const& prompt);

/// 32 hexadecimal digits, as in logs; "part-" and 16 for a prompt part.
[[nodiscard]] std::string to_string(CrashSuspect suspect);

}

template <> struct std::hash<Routing::CrashSuspect> {
    std::size_t operator()(Routing::CrashSuspect const& suspect) const noexcept
    {
        return static_cast<std::size_t>(suspect.account ^ suspect.content);
    }
};
