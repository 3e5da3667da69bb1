#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Routing {

/// What makes two requests the same one that came again: the client account, and host, path and body. The same at every
/// box and after a restart.
///
/// The account is a half of its own, so that a caller who makes up bodies until the other half fits can reach requests
/// of its own account only. On public routes all callers are one account.
struct RequestFingerprint {
    std::uint64_t account { 0 };
    std::uint64_t content { 0 };

    auto operator<=>(RequestFingerprint const&) const = default;
};

[[nodiscard]] RequestFingerprint fingerprint_of(
    std::string_view account, std::string_view host, std::string_view target, std::string_view body);

/// 32 hexadecimal digits, as in logs.
[[nodiscard]] std::string to_string(RequestFingerprint fingerprint);

}

template <> struct std::hash<Routing::RequestFingerprint> {
    std::size_t operator()(Routing::RequestFingerprint const& fingerprint) const noexcept
    {
        return static_cast<std::size_t>(fingerprint.account ^ fingerprint.content);
    }
};
