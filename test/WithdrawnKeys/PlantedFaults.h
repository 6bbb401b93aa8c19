#pragma once

#include "RouterPair.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace mulberrywall::withdrawnkeys
{

/// A fault that the check must find. The routers under test are sound: what they read makes them do what faulty ones would.
struct PlantedFault
{
    std::string_view name;
    RouterPairOptions options;
};

/// Returns the faults, which keep what they have seen in documents, so that each is to be used for one run.
std::vector<PlantedFault> makePlantedFaults();

} // namespace mulberrywall::withdrawnkeys
