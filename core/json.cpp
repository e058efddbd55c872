/// \file
/// The one place where the header-only JSON library is compiled.
#include <boost/json/src.hpp>
