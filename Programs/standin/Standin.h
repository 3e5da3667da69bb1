#pragma once

#include <string>
#include <vector>

/// Stand-ins: small processes that replace clients, endpoints and platform in tests. Not shipped.
int run_platform();
int run_endpoint();
int run_load();
int run_probe();
int run_print_settings();
int run_store();
int run_server();
int run_cloud();

/// Writes "PORT\n" to a temporary file and renames it. Does nothing for an empty path.
void write_port_file(std::string const& path, int port);
/// Blocks until SIGTERM or SIGINT, which must be blocked in all threads.
void block_end_signals();
void wait_for_end_signal();
[[nodiscard]] std::vector<std::string> split(std::string const& text, char separator);
