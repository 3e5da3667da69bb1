#pragma once

#include <string>

namespace Core {

/// Error text that a function sets when it returns an empty std::optional.
struct LastReason {
    std::string text;
};

}
