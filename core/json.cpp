/// \file
/// Compiles the header-only Boost.JSON sources, once for the whole program.
#include <boost/json/src.hpp>
