#pragma once

#include <LibCore/Time.h>

#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Http {

using Core::Duration;

/// How long a call may take, and how much of its answer is read.
struct CallLimits {
    Duration connect { std::chrono::seconds(1) };
    /// Time without a byte from the peer.
    Duration silence { std::chrono::seconds(5) };
    /// Time for the whole call; nothing for no limit beside the others.
    std::optional<Duration> whole {};
    std::size_t body_bytes { std::numeric_limits<std::size_t>::max() };

    bool operator==(CallLimits const&) const = default;
};

/// A request with a body that is sent from where it is. GET requests have none.
struct OutgoingRequest {
    std::string method { "GET" };
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields {};
    std::string_view body {};
};

struct AnswerHead {
    unsigned status { 0 };
    std::string content_type;

    bool operator==(AnswerHead const&) const = default;
};

/// A whole answer.
struct WholeAnswer {
    unsigned status { 0 };
    std::string body;

    bool operator==(WholeAnswer const&) const = default;
};

enum class CallFault {
    /// No connection came about, so nothing was sent.
    NotConnected,
    /// stop() was called, or the receiver of the answer wants no more of it.
    Stopped,
    /// The body of the answer exceeds the limit of the call. The request may have run.
    TooLong,
    /// The connection broke, or what came was no answer. The request may have run.
    Broken,
};

struct CallFailure {
    CallFault fault { CallFault::Broken };
    std::string reason;

    bool operator==(CallFailure const&) const = default;
};

/// An HTTP client for threads that wait for their answers. Keeps its connection for further calls where the peer does.
///
/// What a peer sends is bounded and read strictly: the head, what stands beside the body and what precedes the answer
/// by their bytes, the status and the framing by HTTP. An answer that ends with its connection is whole only after an
/// orderly end, and only if the whole request had been written. Only stop() may be called by another thread.
class BlockingClient {
public:
    /// Called with the head and then with each piece of the body. Return false to end the call.
    struct Receiver {
        std::function<bool(AnswerHead const&)> on_head;
        std::function<bool(std::string_view)> on_piece;
    };

    /// `receive_buffer_bytes` is what the kernel may hold of an answer that is not read; 0 for its default.
    BlockingClient(std::string host, int port, int receive_buffer_bytes = 0);
    ~BlockingClient();
    BlockingClient(BlockingClient const&) = delete;
    BlockingClient& operator=(BlockingClient const&) = delete;

    /// Sends the request and reads its answer. Returns why the answer is not whole; nothing if it is.
    [[nodiscard]] std::optional<CallFailure> call(
        OutgoingRequest const& request, CallLimits const& limits, Receiver const& receiver);
    /// The same for an answer that is kept until it is whole. Returns nothing, with a failure, if it is not.
    [[nodiscard]] std::optional<WholeAnswer> fetch(
        OutgoingRequest const& request, CallLimits const& limits, CallFailure& failure);
    /// Ends the running call, and has all later ones fail.
    void stop();
    /// Whether stop() was called.
    [[nodiscard]] bool is_stopped();

private:
    class Connection;

    /// The kept connection if it can still be used, or a new one. Null if there is none.
    [[nodiscard]] std::shared_ptr<Connection> connect(Duration timeout);
    [[nodiscard]] std::shared_ptr<Connection> current();
    /// False if the client was stopped meanwhile.
    [[nodiscard]] bool use(std::shared_ptr<Connection> connection);

    std::string host;
    int port;
    int receive_buffer_bytes;
    std::mutex mutex;
    std::shared_ptr<Connection> connection;
    bool stopped { false };
};

}
