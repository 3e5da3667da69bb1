#pragma once

/// HTTP status codes that this box sends or interprets.
namespace Gateway {

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_unauthorized = 401;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_request_timeout = 408;
inline constexpr unsigned status_payload_too_large = 413;
inline constexpr unsigned status_header_too_large = 431;
inline constexpr unsigned first_failure_status = 500;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

}
