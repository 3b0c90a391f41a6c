/** @file record_fuzz.cpp Values of the platform's store: configuration, upstreams, members. */
#include "fleet/fleet_store_type.h"
#include "platform/json_func.h"
#include "platform/record_codec_func.h"

#include <cstddef>
#include <cstdint>

using namespace teaselreach;

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string value(reinterpret_cast<const char *>(data) + 1, size - 1);
    constexpr int kinds = 3;
    try {
        switch (data[0] % kinds) {
        case 0:
            platform::decodeConfiguration(value);
            break;
        case 1:
            platform::decodeUpstream("i-1", value);
            break;
        default:
            platform::decodeMember("vm-1", value);
            break;
        }
    } catch (const proxy::StoreValueMalformed &) {
        return 0; // The only error that the reader of the store expects.
    }
    return 0;
}
