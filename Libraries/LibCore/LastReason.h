#pragma once

#include <string>

namespace Core {

/// Filled in by a function that returns an empty std::optional: why it did.
struct LastReason {
    std::string text;
};

}
