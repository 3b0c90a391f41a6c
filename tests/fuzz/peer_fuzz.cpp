/** @file peer_fuzz.cpp Messages and updates of other VMs. */
#include "fleet/fleet_relay_base.h"
#include "fleet/peer_messenger_base.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace teaselreach;

namespace {

/** Decodes and encodes again; what is sent has to be readable. */
void decodeDatagram(std::string_view bytes)
{
    const auto message = proxy::decodeMessage(bytes);
    if (message && !proxy::decodeMessage(proxy::encodeMessage(*message)))
        std::abort();
}

void decodeRelayResponse(std::string_view bytes)
{
    try {
        proxy::decodeUpdate(bytes);
    } catch (const proxy::StoreUnreachable &) {
        return; // The only error that the reader of a relay expects.
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    if (data[0] % 2 == 0)
        decodeDatagram(bytes);
    else
        decodeRelayResponse(bytes);
    return 0;
}
