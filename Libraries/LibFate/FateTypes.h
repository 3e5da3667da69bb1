#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Reason.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Values of the protocol that runs each idempotency key at most once. See docs/KEY-FATES.md.
namespace Fate {

/// Random identifier of one run of a box process.
using Incarnation = Core::StrongId<struct IncarnationTag>;

/// Hash of a client account and its idempotency key.
struct Key {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    auto operator<=>(Key const&) const = default;
    [[nodiscard]] static Key create(std::string const& account, std::string const& idempotency_key);
};

/// One attempt of one process to run a key.
struct Claimant {
    Incarnation incarnation;
    std::uint64_t sequence { 0 };

    auto operator<=>(Claimant const&) const = default;
};

/// Claims the key for a run. Takes effect if it is the first Claim or Void of the key in the log.
struct Claim {
    Key key;
    Claimant claimant;
    std::uint64_t fingerprint { 0 };

    bool operator==(Claim const&) const = default;
};

/// Voids the key so that it never runs. Takes effect if it is the first Claim or Void of the key in the log.
struct Void {
    Key key;

    bool operator==(Void const&) const = default;
};

enum class Result {
    /// No byte of the request reached an endpoint, and none will.
    NotRun,
    Completed,
    /// The request was sent, but its result is unknown.
    Unknown,
};

/// The result of a run, as recorded by its claimant.
struct Settled {
    Key key;
    Claimant claimant;
    Result result { Result::Unknown };
    int status { 0 };
    std::string content_type;
    std::string body;
    bool body_kept { false };

    bool operator==(Settled const&) const = default;
};

using Record = std::variant<Claim, Void, Settled>;

/// The records of one append to the log.
struct Batch {
    std::int64_t at_milliseconds { 0 };
    std::vector<Record> records;

    bool operator==(Batch const&) const = default;
    [[nodiscard]] std::string encode() const;
    [[nodiscard]] static std::optional<Batch> try_decode(std::string const& payload);
};

/// Creation time of a UUIDv7 (RFC 9562) in milliseconds since 1970, or nothing for any other text.
[[nodiscard]] std::optional<std::int64_t> creation_time_of(std::string const& idempotency_key);

}
