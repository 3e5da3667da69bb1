#pragma once

#include <cstdlib>

/// Aborts the process when an internal invariant is violated. Never used to validate external input.
#define VERIFY(expression)                                                                                             \
    do {                                                                                                               \
        if (!(expression)) {                                                                                           \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
