#include <TestMain.h>

#include <Harness/PlatformCluster.h>

#include <atomic>
#include <httplib.h>
#include <mutex>
#include <thread>

/// Boxes that are told to stop while clients go on sending on the connections that they have.
namespace {

struct Sent {
    std::string attempt;
    /// 0 if the connection ended without an answer.
    int status { 0 };
};

/// Clients that keep their connection to a box and send one request after another, with time limits that end within the
/// box's grace and beyond it, until the box closes the connection.
class KeptClients {
public:
    static constexpr int clients = 8;

    KeptClients(int port, std::string const& path)
    {
        for (int number = 0; number < clients; ++number)
            this->threads.emplace_back([this, port, path, number] { this->send_until_closed(port, path, number); });
    }

    /// Waits until all connections are closed, and returns what was sent.
    std::vector<Sent> finish()
    {
        for (auto& thread : this->threads)
            thread.join();
        return this->sent;
    }
    [[nodiscard]] int answered() const { return this->answers; }

private:
    void send_until_closed(int port, std::string const& path, int number)
    {
        constexpr std::array limits { "500", "1200", "2500", "4500" };
        httplib::Client client("127.0.0.1", port);
        client.set_keep_alive(true);
        client.set_read_timeout(std::chrono::seconds(30));
        for (std::size_t request = 0;; ++request) {
            auto const attempt = "k" + std::to_string(number) + "-" + std::to_string(request);
            httplib::Headers const headers { { "Host", "h.example" }, { "X-Attempt-Id", attempt }, { "X-Key", "key" },
                { "X-Deadline-Ms", limits[request % limits.size()] } };
            auto const result = client.Post(path, headers, "body", "text/plain");
            bool const closes = !result || result->get_header_value("Connection") == "close";
            {
                std::scoped_lock const lock(this->mutex);
                this->sent.push_back({ attempt, result ? result->status : 0 });
            }
            this->answers += result ? 1 : 0;
            if (closes)
                return;
        }
    }

    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<int> answers { 0 };
    std::vector<std::jthread> threads;
};

struct StoppingSite : Harness::PlatformCluster {
    StoppingSite()
    {
        this->start_proxied_server("m1", "model");
        this->start_proxied_server("d1", "desk", { "--work_ms=350" });
        this->start_proxied_server("d2", "desk", { "--work_ms=350" });
        this->configure(1, { "key" });
        for (auto const* box : { "b1", "b2", "b3" })
            this->start_box(box, { 8000, 8000, 20000, true });
        for (auto const* box : { "b1", "b2", "b3" }) {
            this->wait_ready(box);
            Harness::wait_until(
                std::string(box) + " knows the others", [&] { return this->metric(box, "cleatbeam_boxes ") == 3; });
        }
    }

    /// Stops the box while these clients send, and checks that nothing was run and left without an answer.
    void check_stop(char const* stopped, KeptClients& clients)
    {
        Harness::wait_until("requests are answered", [&] { return clients.answered() >= KeptClients::clients; });
        CHECK(this->process(stopped).terminate() == 0);
        int served = 0;
        for (auto const& request : clients.finish()) {
            CAPTURE(request.attempt);
            served += request.status == 200 ? 1 : 0;
            CHECK(this->runs(request.attempt) <= 1);
            if (request.status == 0 || request.status == 503)
                CHECK(this->runs(request.attempt) == 0);
        }
        CHECK(served >= KeptClients::clients);
    }
};

}

// Guards against requests that a box passes on late in its grace, and that are cut without an answer at its end.
TEST_CASE("a box that stops leaves no request without an answer that it has passed on")
{
    StoppingSite site;
    SUBCASE("to an endpoint")
    {
        KeptClients clients(site.client_port("b1"), "/once/x");
        site.check_stop("b1", clients);
    }
    SUBCASE("by way of another box")
    {
        site.cut_off("b1", Harness::Fault::Reset);
        Harness::wait_until("the box forwards requests", [&] {
            return site.send("b1", "/repeat/x", "probe").status == 200
                && site.metric("b1", "cleatbeam_endpoints_unreachable ") == 1;
        });
        KeptClients clients(site.client_port("b1"), "/once/x");
        site.check_stop("b1", clients);
    }
}
