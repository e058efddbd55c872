/// \file
/// Version that sassafrasd and sassafrasctl report.
#ifndef SASSAFRAS_MAIN_VERSION_H
#define SASSAFRAS_MAIN_VERSION_H

namespace sassafras {

inline constexpr const char *VersionText = "0.1.0";

} // namespace sassafras

#endif
