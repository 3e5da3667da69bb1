#pragma once

#include <cstdint>
#include <sys/types.h>

namespace Harness {

/// Whether the process holds the socket of the loopback connection from `local_port` to `remote_port`.
[[nodiscard]] bool owns_connection(pid_t process, std::uint16_t local_port, std::uint16_t remote_port);

}
