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

/// Values of the protocol that lets a key run at most once. See docs/KEY-FATES.md.
namespace Fate {

/// One process of a box, from its start to its end. Drawn at random.
using Incarnation = Core::StrongId<struct IncarnationTag>;

/// Hash of an account and its idempotency key.
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

/// Wish to run the key. Decides its fate when it is the first Claim or Void of the key in the log.
struct Claim {
    Key key;
    Claimant claimant;
    std::uint64_t fingerprint { 0 };

    bool operator==(Claim const&) const = default;
};

/// Wish that the key never runs. Decides its fate when it is the first Claim or Void of the key in the log.
struct Void {
    Key key;

    bool operator==(Void const&) const = default;
};

enum class Result {
    /// No byte of the request reached an endpoint, and none will.
    NotRun,
    Completed,
    /// It was sent; what became of it is not known.
    Unknown,
};

/// What the claimant knows of how its run ended.
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

/// What one append to the log holds.
struct Batch {
    std::int64_t at_milliseconds { 0 };
    std::vector<Record> records;

    bool operator==(Batch const&) const = default;
    [[nodiscard]] std::string encode() const;
    [[nodiscard]] static std::optional<Batch> try_decode(std::string const& payload);
};

/// The time that a UUIDv7 (RFC 9562) was made, in milliseconds since 1970; nothing for any other text.
[[nodiscard]] std::optional<std::int64_t> creation_time_of(std::string const& idempotency_key);

}
