#pragma once

#include <LibGateway/Asio.h>

#include <atomic>
#include <list>
#include <thread>

namespace Harness {

/// What a proxy does with the connections that pass through it.
enum class Fault {
    None,
    /// Bytes wait 150 ms on their way.
    Delayed,
    /// What the far side says is held back; what the near side says arrives.
    CutOneWay,
    /// Nothing passes; connections stay open.
    Silent,
    /// Connections are reset, and new ones too.
    Reset,
    /// Answers pass at the proxy's rate, which all its connections share; what the near side says passes at once.
    Narrow,
};

/// A proxy on loopback between two processes under test, with a thread of its own. Its port stays the same while the
/// process behind it comes and goes.
class FaultProxy {
public:
    FaultProxy();
    ~FaultProxy();
    FaultProxy(FaultProxy const&) = delete;
    FaultProxy& operator=(FaultProxy const&) = delete;

    [[nodiscard]] int port() const { return this->acceptor.local_endpoint().port(); }
    /// The port on loopback that new connections are passed on to.
    void set_target(int port) { this->target = port; }
    void set_fault(Fault changed);
    /// What Fault::Narrow lets through, in bytes a second; more than 0.
    void set_rate(std::uint64_t bytes_per_second) { this->rate = bytes_per_second; }
    /// Bytes of answers that were passed on so far.
    [[nodiscard]] std::uint64_t answer_bytes() const { return this->passed_answer_bytes; }

private:
    struct Pair {
        Gateway::tcp::socket near;
        Gateway::tcp::socket far;
    };

    [[nodiscard]] Gateway::Task<void> accept();
    [[nodiscard]] Gateway::Task<void> connect(std::shared_ptr<Pair> pair);
    [[nodiscard]] Gateway::Task<void> pass_on(std::shared_ptr<Pair> pair, bool is_answer);
    [[nodiscard]] Gateway::Task<Gateway::error_code> write(
        Gateway::tcp::socket& socket, std::string_view bytes, bool is_answer);
    [[nodiscard]] Gateway::Task<void> wait_for_link(std::size_t bytes);
    [[nodiscard]] Gateway::Task<void> wait_while_held(bool is_answer);
    [[nodiscard]] bool is_narrow(bool is_answer) const { return is_answer && this->fault == Fault::Narrow; }
    [[nodiscard]] bool holds(bool is_answer) const;
    void reset_all();

    static constexpr std::size_t chunk_bytes = 16 * 1024;
    /// What a narrow link passes on at once: small, so that an answer keeps coming and connections take turns.
    static constexpr std::size_t narrow_piece_bytes = 4 * 1024;
    /// Bytes a second of a narrow link unless a test sets another rate: a record of 100 KB takes a second.
    static constexpr std::uint64_t default_rate = 100'000;
    static constexpr auto delay = std::chrono::milliseconds(150);
    static constexpr auto look_again = std::chrono::milliseconds(10);

    Gateway::asio::io_context context { 1 };
    Gateway::tcp::acceptor acceptor;
    std::atomic<int> target { 0 };
    std::atomic<Fault> fault { Fault::None };
    std::atomic<std::uint64_t> rate { default_rate };
    std::atomic<std::uint64_t> passed_answer_bytes { 0 };
    // Used by the proxy's own thread only.
    std::list<std::weak_ptr<Pair>> pairs;
    /// When all that was let onto the narrow link has passed.
    Core::Instant link_free_at;
    std::thread thread;
};

}
