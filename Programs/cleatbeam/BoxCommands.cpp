#include "CommandLine.h"
#include "ExplainLog.h"
#include "ExplainWindow.h"
#include "FileText.h"

#include <LibPlatform/HttpAddress.h>
#include <gflags/gflags.h>
#include <httplib.h>
#include <iostream>
#include <sstream>

DEFINE_string(box_address, "", "operator address of a box, IP:PORT; several, separated by commas, for explain");
DEFINE_string(log, "",
    "file with the log lines of boxes, - for standard input; explain reads them in place of asking; several, separated "
    "by commas, with --window");
DEFINE_string(window, "",
    "FROM-TO, each a time as in the log's time= or seconds since its first line; explain sums up the requests that "
    "ended from FROM on and before TO, in place of telling of one");
DEFINE_string(key_file, "", "file with the operator key; empty for none");

namespace {

constexpr auto timeout = std::chrono::seconds(3);
constexpr int status_ok = 200;

std::vector<Platform::HttpAddress> addresses()
{
    std::vector<Platform::HttpAddress> all;
    std::istringstream list(FLAGS_box_address);
    for (std::string text; std::getline(list, text, ',');) {
        if (auto address = Platform::HttpAddress::try_create(text))
            all.push_back(std::move(*address));
    }
    return all;
}

std::optional<std::string> get(
    Platform::HttpAddress const& address, std::string const& path, Core::LastReason& last_reason)
{
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    if (!FLAGS_key_file.empty()) {
        auto key = read_file(FLAGS_key_file, last_reason);
        if (!key)
            return {};
        key->erase(key->find_last_not_of(" \r\n") + 1);
        client.set_bearer_token_auth(*key);
    }
    auto const result = client.Get(path);
    if (!result || result->status != status_ok) {
        last_reason.text = result ? "status " + std::to_string(result->status) + ": " + result->body
                                  : httplib::to_string(result.error());
        return {};
    }
    return result->body;
}

/// Asks each box in turn and prints the first answer.
int print_first_answer(std::string const& path)
{
    auto const boxes = addresses();
    if (boxes.empty()) {
        std::cerr << "cleatbeam: --box_address must be an IP number and a port\n";
        return exit_usage;
    }
    for (auto const& address : boxes) {
        Core::LastReason last_reason;
        if (auto const body = get(address, path, last_reason)) {
            std::cout << *body;
            return exit_success;
        }
        std::cerr << "box=" << address.to_string() << " " << last_reason.text << "\n";
    }
    return exit_failure;
}

}

int run_status(std::vector<std::string> const&)
{
    return print_first_answer("/status");
}

int run_explain(std::vector<std::string> const& positional)
{
    if (positional.empty())
        return explain_window(FLAGS_window, FLAGS_log);
    if (!FLAGS_log.empty())
        return explain_from_log(positional[0], FLAGS_log);
    return print_first_answer("/explain/" + positional[0]);
}
