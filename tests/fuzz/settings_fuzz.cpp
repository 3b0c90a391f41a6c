/** @file settings_fuzz.cpp The settings file of the platform. */
#include "platform/settings_func.h"

#include <cstddef>
#include <cstdint>

using namespace teaselreach;

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    try {
        platform::parsePlatformSettings({reinterpret_cast<const char *>(data), size});
    } catch (const platform::PlatformSettingsInvalid &) {
        return 0; // The only error that main() expects.
    }
    return 0;
}
