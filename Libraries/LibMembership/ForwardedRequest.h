#pragma once

#include <LibCore/Reason.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// What a box tells another one of a client's request that it forwards to it.
struct ForwardedRequest {
    /// The request was admitted with this version of the configuration or a later one.
    std::uint64_t min_configuration { 0 };
    /// The service that the request was assigned to.
    std::string service;
    /// How many endpoints may still get the request.
    unsigned attempts_left { 1 };
    /// Incarnations of the endpoints that got it before.
    std::vector<std::string> tried;
    /// Version of the endpoints' software that may continue the stream; unset if it has not begun.
    std::optional<std::string> stream_version {};

    bool operator==(ForwardedRequest const&) const = default;
};

/// What a box tells of its answer to a forwarded request.
struct ForwardedAnswer {
    /// Version of the configuration in force at the box.
    std::uint64_t configuration { 0 };
    /// Why the box itself refused or gave up the request; unset if the answer is an endpoint's.
    std::optional<Core::Reason> refusal;
    std::optional<Core::Duration> retry_after;
    /// Version of the endpoint's software; empty if the answer is the box's own.
    std::string version {};

    bool operator==(ForwardedAnswer const&) const = default;
};

/// Both are sent as the value of a header: hexadecimal digits.
[[nodiscard]] std::string encode(ForwardedRequest const& request);
[[nodiscard]] std::string encode(ForwardedAnswer const& answer);
/// Nothing for a value that can't be read.
[[nodiscard]] std::optional<ForwardedRequest> decode_forwarded_request(std::string_view value);
[[nodiscard]] std::optional<ForwardedAnswer> decode_forwarded_answer(std::string_view value);

/// Whether another box may still serve a request that one box refused for this reason: the reason lies in that box.
[[nodiscard]] bool may_other_box_serve(Core::Reason refusal);

}
