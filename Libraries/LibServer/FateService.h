#pragma once

#include <LibFate/FateLedger.h>
#include <LibPlatform/LogClient.h>
#include <LibServer/PoolShard.h>

#include <condition_variable>
#include <thread>

namespace Server {

inline constexpr char const* fates_stream = "fates";

struct FateServiceSettings {
    Platform::HttpAddress platform;
    Fate::FateLimits limits;
    /// Appends per second to the fates stream, for all boxes together.
    double appends_per_second { 200 };
    int boxes { 1 };
};

/// Connects the fate ledger to the log: reads the fates stream, appends records in batches, and runs keyed attempts.
///
/// One thread follows the stream and, in between, reads it backwards until the window is covered; one thread appends,
/// paced so that all boxes together keep inside their share of the log's rate.
class FateService final : public KeyedAttempts {
public:
    FateService(FateServiceSettings const& settings, Fate::Incarnation own, Metrics& metrics);
    ~FateService() override;

    [[nodiscard]] std::optional<KeyedEnd> decide_before_queueing(RequestFlow const& flow) override;
    [[nodiscard]] AttemptReport run(RequestFlow& flow, Send const& send) override;

    void set_boxes(int boxes) override;
    [[nodiscard]] std::size_t known_keys();

private:
    [[nodiscard]] static std::optional<Fate::KeyRequest> key_request(RequestFlow const& flow);
    [[nodiscard]] AttemptReport run_claimed(RequestFlow& flow, Fate::Claim const& claim, Send const& send);
    [[nodiscard]] AttemptReport end_as_holder(RequestFlow& flow, Fate::Key const& key);
    [[nodiscard]] KeyedEnd wait_for_holder(Fate::Key const& key);
    [[nodiscard]] Fate::ClaimState wait_until_decided(Fate::Claim const& claim);
    void settle(RequestFlow& flow, Fate::Claim const& claim, AttemptReport const& report);
    void enqueue(Fate::Record record);
    [[nodiscard]] bool is_log_lost();

    void follow();
    [[nodiscard]] bool read_newer(Core::Duration wait);
    [[nodiscard]] bool read_older();
    void apply(Platform::LogRecord const& record, bool is_oldest_read);
    void append_batches();
    void drop_unwanted_claims();
    [[nodiscard]] Core::Duration append_interval() const;

    FateServiceSettings settings;
    Metrics& metrics;
    Platform::LogClient log;
    std::mutex mutex;
    std::condition_variable changed;
    Fate::FateLedger ledger;
    std::vector<Fate::Record> to_append;
    /// The range of offsets that has been applied, from oldest_read to before next_to_read.
    std::optional<Core::Offset> oldest_read;
    Core::Offset next_to_read;
    std::optional<std::int64_t> oldest_stamp;
    Core::Instant last_log_answer;
    bool history_is_whole { false };
    bool is_stopping { false };
    std::thread follower;
    std::thread appender;
};

}
