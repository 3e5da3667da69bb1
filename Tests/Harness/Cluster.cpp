#include "Cluster.h"

#include <LibCore/Verify.h>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <httplib.h>
#include <sstream>
#include <thread>

namespace Harness {

namespace {

std::string text_of(std::filesystem::path const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

void wait_until(std::string const& what, std::function<bool()> const& condition)
{
    // NOTE: Only ends a test that would wait forever; no result depends on the duration of a wait.
    constexpr int max_checks = 4000;
    for (int check = 0; check < max_checks; ++check) {
        if (condition())
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    FAIL("never came true: " << what);
}

Cluster::Cluster()
{
    // Clients of a test may still write when a box has refused their request and closed the connection.
    std::signal(SIGPIPE, SIG_IGN);
    auto pattern = (std::filesystem::temp_directory_path() / "cleatbeam-test-XXXXXX").string();
    VERIFY(mkdtemp(pattern.data()) != nullptr);
    this->folder = pattern;
    auto const* given = std::getenv("CLEATBEAM_BUILD");
    this->build = given != nullptr ? given : ".";
}

Cluster::~Cluster()
{
    this->processes.clear();
    if (std::getenv("CLEATBEAM_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(this->folder);
}

void Cluster::start_standin(std::string const& name, std::string const& role, std::vector<std::string> const& flags)
{
    auto const port_file = this->folder / (name + ".port");
    std::filesystem::remove(port_file);
    std::vector<std::string> arguments { role, "--port_file=" + port_file.string() };
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    this->processes[name]
        = std::make_unique<Process>((this->build / "standin").string(), arguments, this->path_of(name + ".log"));
    wait_until(name + " listens", [&] { return std::filesystem::exists(port_file); });
    this->ports[name] = std::stoi(text_of(port_file));
}

void Cluster::start_box(std::string const& name, int threads, std::string const& further_settings)
{
    auto const ports_file = this->folder / (name + ".ports");
    std::filesystem::remove(ports_file);
    std::ofstream(this->folder / (name + ".yaml"))
        << "name: " << name
        << "\nfailure_domain: hall-1\nlisten: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\nplatform: 127.0.0.1:"
        << this->ports.at("platform") << "\nthreads: " << threads << "\nports_file: " << ports_file.string() << "\n"
        << further_settings;
    this->processes[name] = std::make_unique<Process>((this->build / "cleatbeam").string(),
        std::vector<std::string> { "serve", "--box=" + this->path_of(name + ".yaml"), "--balancer_lag_ms=100" },
        this->path_of(name + ".log"));
    wait_until(name + " listens", [&] { return std::filesystem::exists(ports_file); });
    std::istringstream both(text_of(ports_file));
    both >> this->ports[name] >> this->operator_ports[name];
}

std::array<int, 3> Cluster::start_route(std::string const& name, std::string const& settings_file)
{
    auto const ports_file = this->folder / (name + ".ports");
    std::filesystem::remove(ports_file);
    setenv("CLEATBEAM_CONFIG", settings_file.c_str(), 1);
    this->processes[name] = std::make_unique<Process>((this->build / "cleatbeam").string(),
        std::vector<std::string> { "route", "--metrics_port=0", "--ports_file=" + ports_file.string() },
        this->path_of(name + ".log"));
    wait_until(name + " listens", [&] { return std::filesystem::exists(ports_file); });
    std::array<int, 3> ports {};
    std::istringstream all(text_of(ports_file));
    all >> ports[0] >> ports[1] >> ports[2];
    return ports;
}

void Cluster::publish(std::string const& document)
{
    std::ofstream(this->folder / "settings.yaml") << document;
    Process publisher((this->build / "cleatbeam").string(),
        { "publish", this->path_of("settings.yaml"),
            "--platform=127.0.0.1:" + std::to_string(this->ports.at("platform")) },
        this->path_of("publish.log"));
    for (auto const& [box, port] : this->operator_ports)
        this->wait_ready(box);
}

void Cluster::wait_ready(std::string const& box)
{
    wait_until(box + " is ready", [&] { return this->get(this->operator_ports.at(box), "/ready") == "ready\n"; });
}

Reply Cluster::post(std::string const& box, std::string const& path, std::string const& body,
    std::map<std::string, std::string> const& headers) const
{
    constexpr auto longest_answer = std::chrono::seconds(60);
    httplib::Client client("127.0.0.1", this->ports.at(box));
    client.set_read_timeout(longest_answer);
    auto const result = client.Post(path, httplib::Headers(headers.begin(), headers.end()), body, "application/json");
    if (!result)
        return {};
    return { result->status, result->body, result->get_header_value("X-Cleatbeam-Outcome"),
        result->get_header_value("X-Cleatbeam-Reason"), result->get_header_value("X-Cleatbeam-Request-Id"),
        result->get_header_value("Retry-After") };
}

std::string Cluster::get(int port, std::string const& path) const
{
    httplib::Client client("127.0.0.1", port);
    auto const result = client.Get(path);
    return result ? result->body : "";
}

void Cluster::set_faults(std::string const& name, nlohmann::json const& faults) const
{
    httplib::Client client("127.0.0.1", this->ports.at(name));
    auto const result = client.Post("/faults", faults.dump(), "application/json");
    REQUIRE(static_cast<bool>(result));
}

nlohmann::json Cluster::journal(std::string const& endpoint) const
{
    return nlohmann::json::parse(this->get(this->ports.at(endpoint), "/journal"));
}

std::string Cluster::log_of(std::string const& name) const
{
    return text_of(this->folder / (name + ".log"));
}

}
