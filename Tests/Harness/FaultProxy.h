#pragma once

#include <LibGateway/Asio.h>

#include <atomic>
#include <list>
#include <map>
#include <sys/types.h>
#include <thread>

namespace Harness {

/// A network fault that a proxy simulates on all its connections.
enum class Fault {
    None,
    /// All bytes are delayed.
    Delayed,
    /// Bytes from the target are held back; bytes to the target pass.
    CutOneWay,
    /// No bytes pass; connections stay open.
    Silent,
    /// Open connections and new ones are reset.
    Reset,
    /// Bytes from the target pass at the proxy's rate, which all connections share; bytes to the target pass at once.
    Narrow,
    /// New connections are reset; open ones work on.
    RefuseNew,
    /// New connections stay open for a while without passing bytes, and are then reset; open ones work on.
    ResetNewLate,
};

/// A proxy on loopback between two processes under test, with its own thread. Its port stays the same while the target
/// process is restarted.
class FaultProxy {
public:
    FaultProxy();
    ~FaultProxy();
    FaultProxy(FaultProxy const&) = delete;
    FaultProxy& operator=(FaultProxy const&) = delete;

    [[nodiscard]] int port() const { return this->acceptor.local_endpoint().port(); }
    /// The loopback port that new connections are forwarded to.
    void set_target(int port) { this->target = port; }
    void set_fault(Fault changed);
    /// The fault of the connections that this process opens, beside that of all: Silent, Reset, RefuseNew,
    /// ResetNewLate, or None.
    void set_fault_for(pid_t process, Fault changed);
    /// Rate of Fault::Narrow in bytes per second; more than 0.
    void set_rate(std::uint64_t bytes_per_second) { this->rate = bytes_per_second; }
    /// Bytes from the target that were forwarded so far.
    [[nodiscard]] std::uint64_t answer_bytes() const { return this->passed_answer_bytes; }

private:
    struct Pair {
        Gateway::tcp::socket near;
        Gateway::tcp::socket far;
        /// The port of the process that opened the connection.
        std::uint16_t near_port { 0 };
        /// Whether no bytes pass.
        bool is_silent { false };
    };

    [[nodiscard]] Gateway::Task<void> accept();
    [[nodiscard]] static Gateway::Task<void> reset_late(Gateway::tcp::socket socket);
    [[nodiscard]] Gateway::Task<void> connect(std::shared_ptr<Pair> pair);
    [[nodiscard]] Gateway::Task<void> pass_on(std::shared_ptr<Pair> pair, bool is_answer);
    [[nodiscard]] Gateway::Task<Gateway::error_code> write(Pair& pair, std::string_view bytes, bool is_answer);
    [[nodiscard]] Gateway::Task<void> wait_for_link(std::size_t bytes);
    [[nodiscard]] Gateway::Task<void> wait_while_held(Pair const& pair, bool is_answer);
    [[nodiscard]] bool is_narrow(bool is_answer) const { return is_answer && this->fault == Fault::Narrow; }
    [[nodiscard]] bool holds(bool is_answer) const;
    void reset_all();
    void apply_fault_for(pid_t process, Fault changed);
    /// The fault for the process that opened the connection.
    [[nodiscard]] Fault fault_of_opener(std::uint16_t near_port) const;

    static constexpr std::size_t chunk_bytes = 16 * 1024;
    /// Bytes that a narrow link forwards at a time: few, so that answers arrive continuously and connections take
    /// turns.
    static constexpr std::size_t narrow_piece_bytes = 4 * 1024;
    /// Rate of a narrow link, in bytes per second, unless a test sets another: a record of 100 KB takes a second.
    static constexpr std::uint64_t default_rate = 100'000;
    static constexpr auto delay = std::chrono::milliseconds(150);
    /// How long Fault::ResetNewLate leaves a connection open.
    static constexpr auto late_reset = std::chrono::milliseconds(60);
    static constexpr auto look_again = std::chrono::milliseconds(10);

    Gateway::asio::io_context context { 1 };
    Gateway::tcp::acceptor acceptor;
    std::atomic<int> target { 0 };
    std::atomic<Fault> fault { Fault::None };
    std::atomic<std::uint64_t> rate { default_rate };
    std::atomic<std::uint64_t> passed_answer_bytes { 0 };
    // Used only by the proxy's thread.
    std::list<std::weak_ptr<Pair>> pairs;
    std::map<pid_t, Fault> faults_by_process;
    /// When the narrow link will have transferred all bytes that were forwarded to it.
    Core::Instant link_free_at;
    std::thread thread;
};

}
