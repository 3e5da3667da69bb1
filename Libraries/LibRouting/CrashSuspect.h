#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Routing {

/// Identifies a request that is sent again, by hashes of the client account and of host, path and body. Equal on every
/// box and after a restart.
///
/// The account is hashed separately: a client that constructs bodies to make `content` collide can only affect requests
/// of its own account. On public routes all clients have the same account.
struct CrashSuspect {
    std::uint64_t account { 0 };
    std::uint64_t content { 0 };

    auto operator<=>(CrashSuspect const&) const = default;
};

[[nodiscard]] CrashSuspect fingerprint_of(
    std::string_view account, std::string_view host, std::string_view target, std::string_view body);

/// 32 hexadecimal digits, as in logs.
[[nodiscard]] std::string to_string(CrashSuspect fingerprint);

}

template <> struct std::hash<Routing::CrashSuspect> {
    std::size_t operator()(Routing::CrashSuspect const& fingerprint) const noexcept
    {
        return static_cast<std::size_t>(fingerprint.account ^ fingerprint.content);
    }
};
