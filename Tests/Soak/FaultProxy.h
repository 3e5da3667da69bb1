#pragma once

#include <LibGateway/Asio.h>

#include <atomic>
#include <list>
#include <thread>

namespace Soak {

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

private:
    struct Pair {
        Gateway::tcp::socket near;
        Gateway::tcp::socket far;
    };

    [[nodiscard]] Gateway::Task<void> accept();
    [[nodiscard]] Gateway::Task<void> connect(std::shared_ptr<Pair> pair);
    [[nodiscard]] Gateway::Task<void> pass_on(std::shared_ptr<Pair> pair, bool is_answer);
    [[nodiscard]] bool holds(bool is_answer) const;
    void reset_all();

    static constexpr std::size_t chunk_bytes = 16 * 1024;
    static constexpr auto delay = std::chrono::milliseconds(150);
    static constexpr auto look_again = std::chrono::milliseconds(10);

    Gateway::asio::io_context context { 1 };
    Gateway::tcp::acceptor acceptor;
    std::atomic<int> target { 0 };
    std::atomic<Fault> fault { Fault::None };
    /// Used by the proxy's own thread only.
    std::list<std::weak_ptr<Pair>> pairs;
    std::thread thread;
};

}
