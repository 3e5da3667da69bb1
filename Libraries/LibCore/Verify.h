#pragma once

#include <cstdlib>

/// Stops the process when an invariant of our own code is broken. Never used for input from outside.
#define VERIFY(expression)                                                                                             \
    do {                                                                                                               \
        if (!(expression)) {                                                                                           \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
