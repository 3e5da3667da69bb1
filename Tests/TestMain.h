#pragma once

// Each test program is one file, so each brings the runner's main.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
