/// \file
/// Entry point of the tests.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
