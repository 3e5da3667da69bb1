#include <LibFate/FateTypes.h>

#include <LibFate/Fate.pb.h>
#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace Fate {

namespace {

namespace wire = cleatbeam::fate;

Claimant read_claimant(wire::Claimant const& message)
{
    return { Incarnation { message.incarnation() }, message.sequence() };
}

void write_claimant(Claimant const& claimant, wire::Claimant& message)
{
    message.set_incarnation(claimant.incarnation.value());
    message.set_sequence(claimant.sequence);
}

wire::Result to_wire(Result result)
{
    switch (result) {
    case Result::NotRun:
        return wire::RESULT_NOT_RUN;
    case Result::Completed:
        return wire::RESULT_COMPLETED;
    case Result::Unknown:
        break;
    }
    return wire::RESULT_UNKNOWN;
}

Result from_wire(wire::Result result)
{
    if (result == wire::RESULT_NOT_RUN)
        return Result::NotRun;
    return result == wire::RESULT_COMPLETED ? Result::Completed : Result::Unknown;
}

/// Writes a record of any kind into a protobuf message.
struct RecordWriter {
    wire::Record& message;

    void write_key(Key const& key) const
    {
        this->message.set_key_high(key.high);
        this->message.set_key_low(key.low);
    }
    void operator()(Claim const& claim) const
    {
        this->write_key(claim.key);
        write_claimant(claim.claimant, *this->message.mutable_claim()->mutable_claimant());
        this->message.mutable_claim()->set_fingerprint(claim.fingerprint);
    }
    void operator()(Void const& void_record) const
    {
        this->write_key(void_record.key);
        this->message.mutable_void_();
    }
    void operator()(Settled const& settled) const
    {
        this->write_key(settled.key);
        auto& target = *this->message.mutable_settled();
        write_claimant(settled.claimant, *target.mutable_claimant());
        target.set_result(to_wire(settled.result));
        target.set_status(settled.status);
        target.set_content_type(settled.content_type);
        target.set_body(settled.body);
        target.set_body_kept(settled.body_kept);
    }
};

std::optional<Record> read_record(wire::Record const& message)
{
    Key const key { message.key_high(), message.key_low() };
    if (message.has_claim())
        return Claim { key, read_claimant(message.claim().claimant()), message.claim().fingerprint() };
    if (message.has_void_())
        return Void { key };
    if (!message.has_settled())
        return {};
    auto const& settled = message.settled();
    return Settled { key, read_claimant(settled.claimant()), from_wire(settled.result()), settled.status(),
        settled.content_type(), settled.body(), settled.body_kept() };
}

}

Key Key::create(std::string const& account, std::string const& idempotency_key)
{
    // NOTE: Account names contain no NUL, so no account can construct the key of another.
    auto const text = account + '\0' + idempotency_key;
    auto const hash = XXH3_128bits(text.data(), text.size());
    return { hash.high64, hash.low64 };
}

std::string Batch::encode() const
{
    wire::Batch message;
    message.set_at_milliseconds(this->at_milliseconds);
    for (auto const& record : this->records)
        std::visit(RecordWriter { *message.add_records() }, record);
    return message.SerializeAsString();
}

std::optional<Batch> Batch::try_decode(std::string const& payload)
{
    wire::Batch message;
    if (!message.ParseFromString(payload))
        return {};
    Batch batch { message.at_milliseconds(), {} };
    for (auto const& record : message.records()) {
        // NOTE: Record kinds added by later versions are skipped.
        if (auto read = read_record(record))
            batch.records.push_back(std::move(*read));
    }
    return batch;
}

std::optional<std::int64_t> creation_time_of(std::string const& idempotency_key)
{
    constexpr std::size_t uuid_length = 36;
    constexpr std::size_t version_at = 14;
    constexpr std::size_t variant_at = 19;
    constexpr int hexadecimal = 16;
    if (idempotency_key.size() != uuid_length || idempotency_key[version_at] != '7')
        return {};
    for (std::size_t at = 0; at < uuid_length; ++at) {
        auto const must_be_dash = at == 8 || at == 13 || at == 18 || at == 23;
        auto const is_hex = std::isxdigit(static_cast<unsigned char>(idempotency_key[at])) != 0;
        if (must_be_dash ? idempotency_key[at] != '-' : !is_hex)
            return {};
    }
    if (std::string_view("89abAB").find(idempotency_key[variant_at]) == std::string_view::npos)
        return {};
    auto const digits = idempotency_key.substr(0, 8) + idempotency_key.substr(9, 4);
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, hexadecimal);
    return milliseconds;
}

}
